mod agree;
mod apply;
mod fixtures;
mod follow;
