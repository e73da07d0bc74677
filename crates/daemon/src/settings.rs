//! Settings of the daemon and the deployment file, loaded and checked as a whole.

mod deployment;
mod fault;
mod files;
mod peers;
mod schema;

use std::path::{Path, PathBuf};

use celerygate_types::wire::{Deployment, Settings};
use flexi_logger::LogSpecification;
use log::LevelFilter;
use smol_str::{SmolStr, format_smolstr};

pub use fault::Fault;
pub use files::Secret;

use fault::Faults;

/// Largest number of worker tasks; more than this is a typing error rather than a machine size.
const MAX_WORKERS: u32 = 1_024;

/// Settings that passed every check.
#[derive(Clone, Debug)]
pub struct LoadedSettings {
    /// The settings, with relative paths joined to the folder of the settings file.
    pub settings: Settings,
    /// The first configuration of the deployment.
    pub deployment: Deployment,
    /// Secret shared by the daemons.
    pub daemon_secret: Secret,
    /// Token of operators.
    pub operator_token: Secret,
    /// Token of announcing targets.
    pub target_token: Secret,
}

/// Loads a settings file and everything it names, and returns every fault that was found.
///
/// Relative paths in the file are relative to the folder of the file, so that a deployment folder
/// can be started from any working directory.
pub fn check(path: &Path) -> Result<LoadedSettings, Vec<Fault>> {
    let mut faults = Faults::new(path);
    let Some(value) = files::read_json(path, &mut faults) else {
        return Err(faults.into_vec());
    };
    let folder = path.parent().unwrap_or(Path::new(""));
    let settings = schema::parse::<Settings>(&value, &schema::SETTINGS, &mut faults);
    // The deployment is checked even if the settings do not match the schema, so that the faults
    // of both files show at once.
    let deployment = value["deployment_file"].as_str().and_then(|file| {
        load_deployment(&folder.join(file)).map_err(|found| faults.extend(found)).ok()
    });
    let Some(mut settings) = settings else {
        return Err(faults.into_vec());
    };
    resolve_paths(&mut settings, folder);
    check_daemon(&settings, &mut faults);
    peers::check(&settings, deployment.as_ref(), &mut faults);
    check_tls(&settings, &mut faults);
    let secrets = read_secrets(&settings, &mut faults);
    match (deployment, secrets) {
        (Some(deployment), Some([daemon_secret, operator_token, target_token]))
            if faults.is_empty() =>
        {
            Ok(LoadedSettings { settings, deployment, daemon_secret, operator_token, target_token })
        }
        _ => Err(faults.into_vec()),
    }
}

/// Loads a deployment file and returns every fault that was found.
pub fn load_deployment(path: &Path) -> Result<Deployment, Vec<Fault>> {
    let mut faults = Faults::new(path);
    let deployment = files::read_json(path, &mut faults)
        .and_then(|value| schema::parse::<Deployment>(&value, &schema::DEPLOYMENT, &mut faults));
    if let Some(deployment) = &deployment {
        deployment::check(deployment, &mut faults);
    }
    match deployment {
        Some(deployment) if faults.is_empty() => Ok(deployment),
        _ => Err(faults.into_vec()),
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

fn check_daemon(settings: &Settings, faults: &mut Faults) {
    if settings.workers == 0 || settings.workers > MAX_WORKERS {
        let found = settings.workers;
        faults.add("workers", format!("expected 1 to {MAX_WORKERS}, found {found}"));
    }
    check_log_level(&settings.log.level, faults);
    if let Some(folder) = &settings.data_folder {
        files::check_folder(Path::new(folder.as_str()), "data_folder", faults);
    }
}

/// flexi_logger takes a misspelt level for the name of a module and then logs nothing else.
fn check_log_level(level: &str, faults: &mut Faults) {
    let is_level = |text: &str| text.trim().parse::<LevelFilter>().is_ok();
    let is_part =
        |part: &str| part.split_once('=').map_or(is_level(part), |(_, text)| is_level(text));
    if LogSpecification::parse(level).is_err() || !level.split(',').all(is_part) {
        faults.add("log.level", format!("expected LEVEL,MODULE=LEVEL,.. and found {level:?}"));
    }
}

fn check_tls(settings: &Settings, faults: &mut Faults) {
    let Some(tls) = &settings.tls else { return };
    files::check_pem(&tls.certificate_file, "tls.certificate_file", "CERTIFICATE", faults);
    files::check_pem(&tls.key_file, "tls.key_file", "PRIVATE KEY", faults);
}

/// Reads the secrets of daemons, operators and targets, in this order.
///
/// They must differ: whoever holds the targets' token must not be able to act as an operator.
fn read_secrets(settings: &Settings, faults: &mut Faults) -> Option<[Secret; 3]> {
    let files = &settings.credentials;
    let daemons = files::read_secret(&files.daemons_file, "credentials.daemons_file", faults);
    let operators = files::read_secret(&files.operators_file, "credentials.operators_file", faults);
    let targets = files::read_secret(&files.targets_file, "credentials.targets_file", faults);
    let same = |a: &Option<Secret>, b: &Option<Secret>| a.is_some() && a == b;
    if same(&operators, &daemons) {
        faults.add("credentials.operators_file", "holds the same secret as daemons_file");
    }
    if same(&targets, &daemons) || same(&targets, &operators) {
        faults.add("credentials.targets_file", "holds the same secret as another file");
    }
    Some([daemons?, operators?, targets?])
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
