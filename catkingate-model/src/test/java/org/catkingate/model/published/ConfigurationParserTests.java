package org.catkingate.model.published;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.catkingate.model.AccountName;
import org.catkingate.model.ConfigurationVersion;
import org.catkingate.model.ServiceName;
import org.catkingate.model.VersionId;
import org.catkingate.model.ini.ConfigurationProblem;
import org.catkingate.model.ini.InvalidConfigurationException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link ConfigurationParser}.
 */
class ConfigurationParserTests {

	private static final String SERVICE = """
			[group g]
			selector = *
			[service s]
			kind = plain
			group = g
			""";

	private static PublishedConfiguration parse(String... parts) throws InvalidConfigurationException {
		return ConfigurationParser.parse(ConfigurationVersion.none(), List.of(parts));
	}

	private static List<ConfigurationProblem> problemsOf(String... parts) {
		List<ConfigurationProblem> problems = new ArrayList<>();
		assertThatExceptionOfType(InvalidConfigurationException.class).isThrownBy(() -> parse(parts))
			.satisfies((ex) -> problems.addAll(ex.problems()));
		return problems;
	}

	@Nested
	class ExampleConfigurations {

		@ParameterizedTest
		@CsvSource({ "sursagar, 3, 3, 2, 10, 7", "encaixe, 3, 3, 2, 10, 6" })
		void areValid(String name, int dataCentres, int services, int versions, int accounts, int rules)
				throws Exception {
			PublishedConfiguration configuration = ConfigurationBundle.of(1, example(name)).parse();
			assertThat(configuration.dataCentres()).hasSize(dataCentres);
			assertThat(configuration.services()).hasSize(services);
			assertThat(configuration.versions()).hasSize(versions);
			assertThat(configuration.accounts()).hasSize(accounts);
			assertThat(configuration.rules()).hasSize(rules);
		}

		@Test
		void distinguishNonIdempotentCalls() throws Exception {
			PublishedConfiguration configuration = ConfigurationBundle.of(1, example("sursagar")).parse();
			Service catalogue = configuration.services().get(new ServiceName("catalogue-api"));
			assertThat(catalogue.isIdempotent("POST", "/purchases")).isFalse();
			assertThat(catalogue.isIdempotent("POST", "/lookups/songs")).isTrue();
			assertThat(catalogue.isIdempotent("POST", "/unheard-of")).isFalse();
		}

		private static List<String> example(String name) throws IOException {
			Path directory = Path.of(System.getProperty("catkingate.root"), "examples", name);
			List<String> texts = new ArrayList<>();
			try (Stream<Path> files = Files.list(directory)) {
				for (Path file : files.sorted().toList()) {
					texts.add(Files.readString(file));
				}
			}
			return texts;
		}

	}

	@Nested
	class ValidText {

		@Test
		void usesDefaults() throws InvalidConfigurationException {
			Service service = parse(SERVICE).services().get(new ServiceName("s"));
			assertThat(service.repeatWindowMillis()).isEqualTo(TimeUnit.SECONDS.toMillis(60));
			assertThat(service.switchingSharePercent()).isEqualTo(25);
			assertThat(service.checksFencing()).isFalse();
		}

		@Test
		void sortsRulesByOrderAcrossParts() throws InvalidConfigurationException {
			String later = "[rule later]\norder = 2\ncall = * /*\nservice = s\n";
			String first = "[rule first]\norder = 1\ncall = GET /x\nservice = s\n";
			assertThat(parse(SERVICE, later, first).rules()).extracting(RoutingRule::name)
				.containsExactly("first", "later");
		}

		@Test
		void isNeverInterpolated() {
			String text = "[group g]\nselector = role=${sys:user.home}\n";
			assertThat(problemsOf(text)).singleElement()
				.satisfies((problem) -> assertThat(problem.value()).contains("${sys:user.home}"));
		}

		@Test
		void keepsEqualsSignsInSelectors() throws InvalidConfigurationException {
			String text = "[version m 1]\nservice = e\nmanifest-sha256 = " + "a".repeat(64)
					+ "\nselector = role=gpu & tier!=test|old\n"
					+ "[group g]\nselector = *\n[service e]\nkind = engine\ngroup = g\n";
			assertThat(parse(text).versions().get(VersionId.of("m", "1")).selector())
				.hasToString("role=gpu & tier!=old|test");
		}

	}

	@Nested
	class InvalidText {

		@Test
		void hasAllItsProblemsReportedTogether() {
			String first = """
					stray = 1
					[servce s]
					kind = plain
					[data-centre]
					region = r
					[group gpus]
					selector = role~gpu
					[service e]
					kind = engin
					group = gpu
					repeat-windw-s = 3
					[service plain]
					kind = plain
					group = gpu
					queued-requests-per-runner = many
					switching-share-percent = 101
					""";
			String second = """
					[group gpus]
					selector = *
					[version m]
					service = plain
					[version m 1]
					service = plain
					manifest-sha256 = abc
					selector = *
					[account a]
					key-sha256 = %1$s
					labels = kind=bar|dj
					requests-per-s = 0
					concurrent-requests = 1
					tokens-per-s = 1
					[account b]
					key-sha256 = %1$s
					requests-per-s = 1
					concurrent-requests = 1
					tokens-per-s = 1
					[account c]
					key-sha256 = %1$s
					requests-per-s = 1
					concurrent-requests = 1
					tokens-per-s = 1
					tokens-per-s = 2
					[rule x]
					order = 1
					call = GET
					service = plane
					[rule y]
					order = 2
					call = GET /y
					service = plane
					version = m 2
					[rule z]
					order = 2
					call = GET /z
					service = plain
					version = m 1
					""".formatted("b".repeat(64));
			StringBuilder text = new StringBuilder();
			problemsOf(first, second)
				.forEach((problem) -> text.append(problem.kind()).append(' ').append(problem).append('\n'));
			Approvals.verify(text);
		}

		@Test
		void isRejectedAsAWholeIfKeysAreMissing() {
			assertThat(problemsOf(SERVICE, "[rule r]\norder = 1\n")).hasSize(2)
				.allSatisfy((problem) -> assertThat(problem.kind()).isEqualTo(ConfigurationProblem.Kind.MISSING_KEY));
		}

		@Test
		void isRejectedIfItIsNotIni() {
			assertThat(problemsOf("\u0000\u0001 half a val")).isNotEmpty();
			assertThat(problemsOf("[account a")).isNotEmpty();
		}

	}

	@Nested
	class Contradictions {

		private static final String ENGINE = SERVICE + "[service e]\nkind = engine\ngroup = g\n[version m 1]\n"
				+ "service = e\nselector = *\nmanifest-sha256 = " + "a".repeat(64) + "\n";

		@ParameterizedTest
		@CsvSource({ "s, m 1, CONTRADICTION", "e, '', MISSING_KEY" })
		void betweenARuleAndItsServiceAreFound(String service, String version, ConfigurationProblem.Kind kind) {
			String rule = "[rule r]\norder = 1\ncall = * /*\nservice = " + service + "\n";
			String line = version.isEmpty() ? "" : "version = " + version + "\n";
			assertThat(problemsOf(ENGINE, rule + line)).extracting(ConfigurationProblem::kind).contains(kind);
		}

		@Test
		void betweenARuleAndItsOtherVersionsAreFound() {
			String rule = "[rule r]\norder = 1\ncall = * /*\nservice = e\nversion = m 1\nalso-versions = m 1, m 0\n";
			assertThat(problemsOf(ENGINE, rule)).singleElement()
				.asString()
				.isEqualTo("[rule r] also-versions = m 1, m 0 - no section [version m 0]; did you mean 'm 1'?");
		}

		@Test
		void betweenRulesWithTheSameOrderAreFound() {
			String rules = "[rule a]\norder = 1\ncall = * /*\nservice = s\n"
					+ "[rule b]\norder = 1\ncall = * /*\nservice = s\n";
			assertThat(problemsOf(SERVICE, rules)).singleElement()
				.satisfies((problem) -> assertThat(problem.kind()).isEqualTo(ConfigurationProblem.Kind.DUPLICATE));
		}

		@Test
		void ofAVersionForAPlainServiceAreFound() {
			String version = "[version n 1]\nservice = s\nselector = *\nmanifest-sha256 = " + "a".repeat(64) + "\n";
			assertThat(problemsOf(SERVICE, version)).singleElement()
				.satisfies((problem) -> assertThat(problem.kind()).isEqualTo(ConfigurationProblem.Kind.CONTRADICTION));
		}

	}

	@Nested
	class Accounts {

		@Test
		void haveTheirLabelsAndLimits() throws InvalidConfigurationException {
			String text = "[account a]\nkey-sha256 = " + "c".repeat(64) + "\nlabels = kind=bar & size=large\n"
					+ "requests-per-s = 5\nconcurrent-requests = 6\ntokens-per-s = 7\npriority = 9\n";
			ClientAccount account = parse(text).accounts().get(new AccountName("a"));
			assertThat(account.labels().value("size")).contains("large");
			assertThat(account.priority()).isEqualTo(9);
		}

	}

}
