package org.catkingate.tests.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.catkingate.model.AccountName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.RegisteredAccount;
import org.catkingate.model.registry.RegistryItem;
import org.catkingate.model.registry.RegistryValue;
import org.catkingate.model.registry.ServingConfiguration;
import org.catkingate.tests.harness.FreePorts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the rank of requests in the queues of runners.
 */
class RequestPriorityTests {

	private static String sendAndReadHead(Map<String, RegisteredAccount> moreAccounts) throws Exception {
		try (RecordingRunner runner = RecordingRunner.start()) {
			List<RegistryItem> items = TestGateway.items(CallKind.IDEMPOTENT, runner.address());
			ServingConfiguration published = ((RegistryValue.Configuration) items.get(0).value()).configuration();
			Map<String, RegisteredAccount> accounts = new HashMap<>(published.accounts());
			accounts.putAll(moreAccounts);
			items.set(0,
					new RegistryItem("configuration", 1, new RegistryValue.Configuration(new ServingConfiguration(7,
							published.routes(), published.services(), accounts, published.limits()))));
			try (TestGateway gateway = TestGateway.start(items, FreePorts.next(), (client, address) -> null);
					RawCaller caller = gateway.connect()) {
				assertThat(caller.post("r1", "/songs/1", "hello").readResponse()).startsWith("HTTP/1.1 200 ");
			}
			return runner.requests().get(0).head();
		}
	}

	// Guards against urgent requests that wait at a runner behind others.
	@Test
	void isSentWhereAccountsDifferInPriority() throws Exception {
		assertThat(sendAndReadHead(Map.of("key-2", new RegisteredAccount(new AccountName("bar-2"), 1, Set.of()),
				TestGateway.API_KEY, new RegisteredAccount(new AccountName("bar-1"), 2, Set.of()))))
			.contains("X-Request-Priority: 1");
	}

	// Guards against changed requests at deployments without priorities.
	@Test
	void isNotSentWhereAllCallsHaveTheSameUrgency() throws Exception {
		assertThat(sendAndReadHead(Map.of())).doesNotContain("X-Request-Priority");
	}

}
