//! Seeds of random runs, which an environment variable can replace.

/// Plays each seed of a range and panics with the stories of those that fail. The variable holds a
/// range such as `10..60`.
pub fn play(variable: &str, usual: &str, play: impl Fn(u64) -> Result<(), String>) {
    let seeds = std::env::var(variable).unwrap_or(usual.to_owned());
    let (from, to) = seeds.split_once("..").unwrap();
    let seeds = from.parse().unwrap()..to.parse().unwrap();
    let failed: Vec<String> = seeds.filter_map(|seed| play(seed).err()).collect();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
