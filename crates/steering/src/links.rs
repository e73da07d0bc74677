//! Budgets of the links between regions.
