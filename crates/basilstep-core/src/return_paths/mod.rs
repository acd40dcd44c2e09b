//! Choice of the balancer that forwards an answer to its caller.

mod settings;
mod state;
#[cfg(test)]
mod tests;

pub use settings::ReturnSettings;
pub use state::ReturnPaths;
