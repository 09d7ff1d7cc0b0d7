package org.catkingate.model.published;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.catkingate.model.AccountName;
import org.catkingate.model.Digest;
import org.catkingate.model.Labels;
import org.catkingate.model.ModelName;
import org.catkingate.model.Selector;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.model.ini.SectionReader;

/**
 * Parser methods for the kinds of section, with the keys, defaults and ranges of each. A
 * method returns null for a section with problems, which the reader has reported.
 * Stateless.
 */
final class SectionParser {

	private static final int DEFAULT_SWITCHING_SHARE_PERCENT = 25;

	private static final int DEFAULT_CONCURRENT_REQUESTS = 16;

	private static final int DEFAULT_QUEUED_REQUESTS = 32;

	private static final int DEFAULT_REPEAT_WINDOW_SECONDS = 60;

	private static final int MAX_REPEAT_WINDOW_SECONDS = 24 * 60 * 60;

	private static final int MAX_CONCURRENT_REQUESTS = 100_000;

	private static final int MAX_RUNNERS = 100_000;

	private static final int MAX_ACCOUNT_LIMIT = 1_000_000_000;

	private static final int DEFAULT_PRIORITY = 5;

	private static final int MAX_PERCENT = 100;

	private static final Map<String, Service.Kind> SERVICE_KINDS = Map.of("engine", Service.Kind.ENGINE, "plain",
			Service.Kind.PLAIN);

	private SectionParser() {
	}

	static Service parseService(SectionReader reader) {
		ServiceName name = reader.name("service", ServiceName::new);
		Service.Kind kind = reader.value("kind", Service.Kind.PLAIN, SectionParser::parseServiceKind);
		boolean fencing = reader.booleanValue("checks-fencing", false);
		String group = reader.text("group");
		reader.checkReference("group", "group");
		List<CallPattern> nonIdempotent = reader.list("non-idempotent-calls", CallPattern::parse);
		List<CallPattern> idempotent = reader.list("idempotent-calls", CallPattern::parse);
		int window = reader.number("repeat-window-s", DEFAULT_REPEAT_WINDOW_SECONDS, 1, MAX_REPEAT_WINDOW_SECONDS);
		int expected = reader.number("expected-runners", 0, 0, MAX_RUNNERS);
		int share = reader.number("switching-share-percent", DEFAULT_SWITCHING_SHARE_PERCENT, 1, MAX_PERCENT);
		int concurrent = reader.number("concurrent-requests-per-runner", DEFAULT_CONCURRENT_REQUESTS, 1,
				MAX_CONCURRENT_REQUESTS);
		int queued = reader.number("queued-requests-per-runner", DEFAULT_QUEUED_REQUESTS, 0, MAX_CONCURRENT_REQUESTS);
		if (!reader.isValid()) {
			return null;
		}
		return new Service(name, kind, fencing, group, nonIdempotent, idempotent, TimeUnit.SECONDS.toMillis(window),
				expected, share, concurrent, queued);
	}

	private static Service.Kind parseServiceKind(String text) {
		Service.Kind kind = SERVICE_KINDS.get(text);
		if (kind == null) {
			throw new IllegalArgumentException("write engine or plain");
		}
		return kind;
	}

	static WeightsVersion parseVersion(SectionReader reader) {
		VersionId id = reader.name("version MODEL", SectionParser::parseVersionId);
		ServiceName service = reader.value("service", null, ServiceName::new);
		reader.checkReference("service", "service");
		Digest manifest = reader.digest("manifest-sha256");
		Selector selector = reader.selector("selector");
		boolean withdrawn = reader.booleanValue("withdrawn", false);
		return reader.isValid() ? new WeightsVersion(id, service, manifest, selector, withdrawn) : null;
	}

	private static VersionId parseVersionId(String text) {
		String[] words = text.split("\\s+");
		if (words.length != 2) {
			throw new IllegalArgumentException(
					"a version must be the name of the model and the name of the version, separated by a space");
		}
		return new VersionId(new ModelName(words[0]), words[1]);
	}

	static ClientAccount parseAccount(SectionReader reader) {
		AccountName name = reader.name("account", AccountName::new);
		Digest key = reader.digest("key-sha256");
		Labels labels = reader.labels("labels");
		int requests = reader.number("requests-per-s", 1, MAX_ACCOUNT_LIMIT);
		int concurrent = reader.number("concurrent-requests", 1, MAX_ACCOUNT_LIMIT);
		int tokens = reader.number("tokens-per-s", 0, MAX_ACCOUNT_LIMIT);
		int priority = reader.number("priority", DEFAULT_PRIORITY, 0, ClientAccount.MAX_PRIORITY);
		return reader.isValid() ? new ClientAccount(name, key, labels, requests, concurrent, tokens, priority) : null;
	}

	static RoutingRule parseRule(SectionReader reader) {
		// the name of a rule has the same form as that of a service
		ServiceName name = reader.name("rule", ServiceName::new);
		Selector accounts = reader.selector("accounts", "*");
		CallPattern call = reader.value("call", CallPattern.everything(), CallPattern::parse);
		ServiceName service = reader.value("service", null, ServiceName::new);
		reader.checkReference("service", "service");
		VersionId version = null;
		if (!reader.text("version", "").isEmpty()) {
			version = reader.value("version", null, SectionParser::parseVersionId);
			reader.checkReference("version", "version");
		}
		List<VersionId> alsoVersions = reader.list("also-versions", SectionParser::parseVersionId);
		alsoVersions.forEach((id) -> reader.checkDefined("also-versions", "version", id.model() + " " + id.version()));
		Selector instances = reader.selector("instances", "*");
		if (!reader.isValid()) {
			return null;
		}
		return new RoutingRule(name.value(), accounts, call, service, version, Set.copyOf(alsoVersions), instances);
	}

}
