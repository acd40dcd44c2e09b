mod builders;
mod checks;
mod delta;
mod invariants;
mod records;
mod versions;
