//! tbd
