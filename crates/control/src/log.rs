//! The replicated log on disk: segments, snapshots, compaction.
