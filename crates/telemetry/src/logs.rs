//! Log lines on standard error.

/// Sets up logging. The environment variable `RUST_LOG` selects what is logged; the default is
/// `info`.
///
/// Each component of a program starts its messages with a fixed prefix, such as `catalogue: `.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env)
        .format_target(false)
        .format_timestamp_millis()
        .init();
}
