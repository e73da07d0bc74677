//! Planning, confirming and executing intents.
