//! Failure domains leaving and returning.
