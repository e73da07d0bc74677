//! Fleet-wide rate and burst: tokens leased by an owner to holders.
