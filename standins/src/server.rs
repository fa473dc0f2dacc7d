//! The models behind HTTP.
