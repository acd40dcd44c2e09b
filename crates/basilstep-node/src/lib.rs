//! The shell that basilstep processes share.
