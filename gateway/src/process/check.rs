//! What the command line does beside serving: an operator's file is checked, or shown with what holds under it.
use super::{configuration, operator};
use quillramp_operator::routes::Platform;
use quillramp_operator::{show, OperatorSettings};

/// What a configuration allows, where one is named, else where the environment names one.
fn platform(named: Option<&str>) -> Result<Option<Platform>, Vec<String>> {
    let path = named.map(str::to_owned).or(std::env::var(configuration::PATH_VARIABLE).ok());
    let Some(path) = path else { return Ok(None) };
    let one = |why: String| vec![format!("{path}: {why}")];
    let text = std::fs::read(&path).map_err(|e| one(e.to_string()))?;
    let told = configuration::decode(&text).map_err(one)?;
    let start = quillramp::settings::load(told.seed, told.settings.get().as_bytes())
        .map_err(|e| one(e.to_string()))?;
    Ok(Some(operator::platform(&start.instance, told.limits.sockets)))
}

fn read(
    file: &str,
    configuration: Option<&str>,
) -> Result<(OperatorSettings, Option<Platform>), Vec<String>> {
    let platform = platform(configuration)?;
    let text = operator::text(file).map_err(|why| vec![why])?;
    let operator =
        quillramp_operator::read(&text, platform.as_ref()).map_err(|wrong| operator::faults(file, &wrong))?;
    Ok((operator, platform))
}

/// What to say of a file that is well; else all that is wrong, a line each.
pub fn check(file: &str, configuration: Option<&str>) -> Result<String, Vec<String>> {
    let (operator, platform) = read(file, configuration)?;
    let (classes, routes) = (operator.routes.classes.len(), operator.routes.routes.len());
    let beyond = match platform {
        Some(_) => "",
        None => "; without a configuration, operations and plans were not looked up",
    };
    Ok(format!("{file}: well; {classes} classes, {routes} routes{beyond}"))
}

/// What holds under a file, and where each value came from.
pub fn shown(file: &str, configuration: Option<&str>) -> Result<String, Vec<String>> {
    let (operator, platform) = read(file, configuration)?;
    Ok(show(&operator, platform.as_ref()))
}
