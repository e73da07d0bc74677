//! Bounded waiting, weighted-fair between organisations.
