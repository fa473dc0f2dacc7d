//! The report on service-level burn.

mod burn;
mod html;

pub use {
    burn::{BurnReport, BurnRow},
    html::page,
};
