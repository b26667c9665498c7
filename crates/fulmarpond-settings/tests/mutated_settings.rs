//! Settings with mutated bytes.

use fulmarpond_settings::{Document, LeasedSettings, PatchFile, TokenFile};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SETTINGS: &str = "[daemon]\nmode = leased\nrole = agent\nname = side-1\nzone = Saga\n[listen]\n\
    heartbeats = 127.0.0.1:7000\n[cluster]\nseeds = 10.0.0.1:7100\nlink_port = 7100\n[timing]\n\
    resend = 1300ms\nhold_max = 1s\nstop = 50ms\nheartbeat = 1500ms\ngrace = 5s\n";

proptest! {
    #![proptest_config(Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    })]

    /// Guards against a process that ends with a panic, and without a line that names the setting,
    /// when its settings are rendered or edited wrongly.
    #[test]
    fn settings_with_mutated_bytes_are_refused_or_read(
        mutations in proptest::collection::vec((any::<usize>(), "[-0-9a-z=\\[\\].:;# \n]{0,20}"), 0..5),
    ) {
        let mut text = SETTINGS.to_owned();
        for (at, inserted) in &mutations {
            let at = at % text.len();
            let end = (at + inserted.len() / 2).min(text.len());
            text.replace_range(at..end, inserted);
        }
        if let Ok(document) = Document::parse("boot.ini", &text) {
            let _ = LeasedSettings::is_leased(&document);
            let _ = LeasedSettings::try_from(&document);
            let _ = PatchFile::try_from(&document);
        }
        let _ = TokenFile::parse("tokens", &text);
    }
}
