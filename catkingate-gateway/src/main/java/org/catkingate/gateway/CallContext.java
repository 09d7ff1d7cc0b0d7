package org.catkingate.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntSupplier;

import org.catkingate.decisions.admission.Caution;
import org.catkingate.decisions.admission.Choice;
import org.catkingate.decisions.admission.Demand;
import org.catkingate.decisions.retries.RetryAllowance;
import org.catkingate.decisions.retries.WindowCount;
import org.catkingate.model.ModelName;
import org.catkingate.model.RunnerId;
import org.catkingate.model.ServiceName;
import org.catkingate.runtime.MonotonicClock;
import org.catkingate.runtime.calls.CallFormat;

/**
 * What the calls of one gateway share. Used by the traffic thread only, but for the
 * counts.
 */
final class CallContext {

	private final Map<ServiceName, ServiceUsage> usages = new HashMap<>();

	private final Map<ServiceName, Caution> cautions = new HashMap<>();

	private final RunnerTable runners;

	private final CallFormat format;

	private final RetryAllowance retryAllowance;

	private final IntSupplier gatewayCount;

	private final IntSupplier assumedGatewayCount;

	private final MonotonicClock clock;

	private final GatewayMetrics metrics;

	/**
	 * Makes what is shared.
	 * @param runners the runners
	 * @param format the heads of calls
	 * @param allowance how many sends beyond the first all gateways may make
	 * @param gateways counts the gateways that are known, with this one
	 * @param assumedGateways counts those that may share the allowance, rather too many
	 * @param clock the clock
	 * @param counts the counts
	 */
	CallContext(RunnerTable runners, CallFormat format, RetryAllowance allowance, IntSupplier gateways,
			IntSupplier assumedGateways, MonotonicClock clock, GatewayMetrics counts) {
		this.runners = runners;
		this.format = format;
		this.retryAllowance = allowance;
		this.gatewayCount = gateways;
		this.assumedGatewayCount = assumedGateways;
		this.clock = clock;
		this.metrics = counts;
	}

	CallFormat format() {
		return this.format;
	}

	MonotonicClock clock() {
		return this.clock;
	}

	GatewayMetrics metrics() {
		return this.metrics;
	}

	RunnerTable runners() {
		return this.runners;
	}

	Choice choose(ServiceName service, Demand demand, Set<RunnerId> tried) {
		return this.runners.choose(service, demand, tried, this.gatewayCount.getAsInt() - 1,
				ThreadLocalRandom.current().nextDouble(), this.clock.millis());
	}

	/**
	 * Returns how much longer requests may begin on some versions.
	 * @param service the service
	 * @param serving the version of each model
	 * @return the time in milliseconds, none or less if it is over
	 */
	long beginWithinMillis(ServiceName service, Map<ModelName, Long> serving) {
		return this.runners.beginWithinMillis(service, serving, this.clock.millis());
	}

	/**
	 * Counts a call to a service, by which repeats are earned.
	 * @param service the service
	 */
	void countCall(ServiceName service) {
		usages(service).calls().add(this.clock.millis());
	}

	/**
	 * Takes a repeat from the budget.
	 * @param service the service
	 * @return whether one more send is allowed
	 */
	boolean acquireRetry(ServiceName service) {
		long now = this.clock.millis();
		ServiceUsage used = usages(service);
		if (!this.retryAllowance.allows(used.calls().count(now), used.retries().count(now),
				this.assumedGatewayCount.getAsInt())) {
			return false;
		}
		used.retries().add(now);
		this.metrics.countRetry();
		return true;
	}

	/**
	 * Tells how much to doubt predictions for a service.
	 * @param service the service
	 * @return the factor by which answers began later than predicted
	 */
	double caution(ServiceName service) {
		return this.cautions.getOrDefault(service, Caution.none()).factor();
	}

	/**
	 * Learns from the beginning of an answer.
	 * @param service the service
	 * @param predictedMillis the predicted time to it, in milliseconds
	 * @param observedMillis the observed time, in milliseconds
	 */
	void recordResponseStart(ServiceName service, double predictedMillis, long observedMillis) {
		this.cautions.merge(service, Caution.none().after(predictedMillis, observedMillis),
				(known, first) -> known.after(predictedMillis, observedMillis));
	}

	private ServiceUsage usages(ServiceName service) {
		return this.usages.computeIfAbsent(service,
				(name) -> new ServiceUsage(WindowCount.over(this.retryAllowance.windowMillis()),
						WindowCount.over(this.retryAllowance.windowMillis())));
	}

	/**
	 * How a service was used in the latest window.
	 *
	 * @param calls the calls to it
	 * @param retries the sends beyond the first of each
	 */
	private record ServiceUsage(WindowCount calls, WindowCount retries) {

	}

}
