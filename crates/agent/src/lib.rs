//! Agent decisions without I/O: lease, fencing, admission, remembered requests, hand-over.
