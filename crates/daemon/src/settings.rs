//! Loads and validates the settings of the daemon and the deployment file.

mod deployment;
mod error;
mod files;
mod peers;
mod schema;

use std::path::{Path, PathBuf};

use celerygate_types::wire::{Deployment, Settings};
use flexi_logger::LogSpecification;
use log::LevelFilter;
use smol_str::{SmolStr, format_smolstr};

pub use error::SettingsError;
pub use files::Secret;

use error::SettingsErrors;

/// Largest number of worker tasks; a larger number is a typing error rather than a machine size.
const MAX_WORKERS: u32 = 1_024;

/// Validated settings, with the deployment and the secrets that they name.
#[derive(Clone, Debug)]
pub struct LoadedSettings {
    /// The settings. Relative paths are joined to the folder of the settings file.
    pub settings: Settings,
    /// The deployment file, from which the initial configuration is built.
    pub deployment: Deployment,
    /// Secret shared by the daemons; authenticates messages between them.
    pub daemon_secret: Secret,
    /// Bearer token of operators.
    pub operator_token: Secret,
    /// Bearer token of targets that announce themselves.
    pub target_token: Secret,
}

/// Loads a settings file and the files that it names, and validates them.
///
/// Relative paths in the file are relative to the folder of the file, so that a deployment folder
/// can be started from any working directory.
///
/// # Errors
///
/// Every error that was found, not only the first.
pub fn check(path: &Path) -> Result<LoadedSettings, Vec<SettingsError>> {
    let mut errors = SettingsErrors::new(path);
    let Some(value) = files::read_json(path, &mut errors) else {
        return Err(errors.into_vec());
    };
    let folder = path.parent().unwrap_or(Path::new(""));
    let settings = schema::parse::<Settings>(&value, &schema::SETTINGS, &mut errors);
    // The deployment is validated even if the settings do not match the schema, so that the errors
    // of both files are reported at once.
    let deployment = value["deployment_file"].as_str().and_then(|file| {
        load_deployment(&folder.join(file)).map_err(|found| errors.extend(found)).ok()
    });
    let Some(mut settings) = settings else {
        return Err(errors.into_vec());
    };
    resolve_paths(&mut settings, folder);
    check_daemon_settings(&settings, &mut errors);
    peers::check(&settings, deployment.as_ref(), &mut errors);
    check_tls(&settings, &mut errors);
    let secrets = read_secrets(&settings, &mut errors);
    match (deployment, secrets) {
        (Some(deployment), Some([daemon_secret, operator_token, target_token]))
            if errors.is_empty() =>
        {
            Ok(LoadedSettings { settings, deployment, daemon_secret, operator_token, target_token })
        }
        _ => Err(errors.into_vec()),
    }
}

/// Loads and validates a deployment file.
///
/// # Errors
///
/// Every error that was found, not only the first.
pub fn load_deployment(path: &Path) -> Result<Deployment, Vec<SettingsError>> {
    let mut errors = SettingsErrors::new(path);
    let deployment = files::read_json(path, &mut errors)
        .and_then(|value| schema::parse::<Deployment>(&value, &schema::DEPLOYMENT, &mut errors));
    if let Some(deployment) = &deployment {
        deployment::check(deployment, &mut errors);
    }
    match deployment {
        Some(deployment) if errors.is_empty() => Ok(deployment),
        _ => Err(errors.into_vec()),
    }
}

fn resolve_paths(settings: &mut Settings, folder: &Path) {
    let resolve = |path: &mut SmolStr| {
        let joined: PathBuf = folder.join(path.as_str());
        *path = format_smolstr!("{}", joined.display());
    };
    resolve(&mut settings.deployment_file);
    resolve(&mut settings.credentials.daemons_file);
    resolve(&mut settings.credentials.operators_file);
    resolve(&mut settings.credentials.targets_file);
    settings.data_folder.iter_mut().for_each(resolve);
    if let Some(tls) = &mut settings.tls {
        resolve(&mut tls.certificate_file);
        resolve(&mut tls.key_file);
    }
}

fn check_daemon_settings(settings: &Settings, errors: &mut SettingsErrors) {
    if settings.workers == 0 || settings.workers > MAX_WORKERS {
        let found = settings.workers;
        errors.add("workers", format!("expected 1 to {MAX_WORKERS}, found {found}"));
    }
    check_log_level(&settings.log.level, errors);
    if let Some(folder) = &settings.data_folder {
        files::check_folder(Path::new(folder.as_str()), "data_folder", errors);
    }
}

/// Checks the levels, because flexi_logger takes a misspelt level for the name of a module and then
/// logs nothing else.
fn check_log_level(level: &str, errors: &mut SettingsErrors) {
    let is_level = |text: &str| text.trim().parse::<LevelFilter>().is_ok();
    let is_level_rule =
        |rule: &str| rule.split_once('=').map_or(is_level(rule), |(_, text)| is_level(text));
    if LogSpecification::parse(level).is_err() || !level.split(',').all(is_level_rule) {
        errors.add("log.level", format!("expected LEVEL,MODULE=LEVEL,.., found {level:?}"));
    }
}

fn check_tls(settings: &Settings, errors: &mut SettingsErrors) {
    let Some(tls) = &settings.tls else { return };
    files::check_pem(&tls.certificate_file, "tls.certificate_file", "CERTIFICATE", errors);
    files::check_pem(&tls.key_file, "tls.key_file", "PRIVATE KEY", errors);
}

/// Reads the secrets of daemons, operators and targets, in this order.
///
/// They must differ, so that the holder of the targets' token cannot act as an operator.
fn read_secrets(settings: &Settings, errors: &mut SettingsErrors) -> Option<[Secret; 3]> {
    let files = &settings.credentials;
    let daemons = files::read_secret(&files.daemons_file, "credentials.daemons_file", errors);
    let operators = files::read_secret(&files.operators_file, "credentials.operators_file", errors);
    let targets = files::read_secret(&files.targets_file, "credentials.targets_file", errors);
    let equal = |a: &Option<Secret>, b: &Option<Secret>| a.is_some() && a == b;
    if equal(&operators, &daemons) {
        errors.add("credentials.operators_file", "holds the same secret as daemons_file");
    }
    if equal(&targets, &daemons) || equal(&targets, &operators) {
        errors.add("credentials.targets_file", "holds the same secret as another file");
    }
    Some([daemons?, operators?, targets?])
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
