mod budget;
mod delay_estimate;
mod policy;
