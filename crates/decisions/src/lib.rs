
pub mod load;
pub mod membership;
