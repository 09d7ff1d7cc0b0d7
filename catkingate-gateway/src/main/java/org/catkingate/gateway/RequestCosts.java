package org.catkingate.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.catkingate.decisions.cost.CallCost;
import org.catkingate.decisions.cost.LengthEstimate;
import org.catkingate.decisions.cost.LengthEstimator;
import org.catkingate.decisions.cost.RequestFeatures;
import org.catkingate.model.ServiceName;
import org.catkingate.model.registry.CallKind;
import org.catkingate.model.registry.EngineProfile;
import org.catkingate.runtime.settings.GatewaySettings;

/**
 * The costs of all calls of this process: estimates for new ones and what finished ones
 * teach. Nothing is estimated, counted or kept unless the settings ask for it. Used by
 * the traffic thread only.
 */
final class RequestCosts {

	/**
	 * The assumed response time of a service without engines before any has been
	 * observed, in milliseconds.
	 */
	private static final double DEFAULT_RESPONSE_MILLIS = 80;

	private final Map<ServiceName, ServiceLengths> services = new HashMap<>();

	private final LengthEstimator estimator = new LengthEstimator();

	private final Set<ServiceName> statingServices = new HashSet<>();

	private final GatewaySettings.ByCost byCost;

	private final GatewayMetrics metrics;

	/**
	 * Creates the costs, without any evidence.
	 * @param byCost for which services decisions depend on the cost of calls
	 * @param metrics the metrics
	 */
	RequestCosts(GatewaySettings.ByCost byCost, GatewayMetrics metrics) {
		this.byCost = byCost;
		this.metrics = metrics;
	}

	/**
	 * Estimates the cost of a call.
	 * @param request the call
	 * @param engine the parameters of the service's engines, empty for a service without
	 * engines
	 * @param slowdownStated returns whether runners of the service state their slowdown
	 * @return the cost, never null
	 */
	RequestCost estimate(AdmittedRequest request, Optional<EngineProfile> engine, BooleanSupplier slowdownStated) {
		boolean stream = request.route().kind() == CallKind.STREAM;
		if (!applies(request.service(), slowdownStated) || stream != engine.isPresent()) {
			return RequestCost.unknown(request.head().promptTokens());
		}
		RequestFeatures features = new RequestFeatures(String.valueOf(request.route().name()),
				(request.account() != null) ? request.account().toString() : "",
				request.head().estimatedResponseTokens(), request.head().promptTokens());
		double statedMean = engine.map(EngineProfile::meanResponseTokens).orElse(DEFAULT_RESPONSE_MILLIS);
		LengthEstimate length = this.estimator.estimate(features, statedMean,
				engine.isPresent() ? request.head().maxResponseTokens() : 0);
		ServiceLengths service = this.services.computeIfAbsent(request.service(),
				(name) -> new ServiceLengths(statedMean));
		return new RequestCost(request.head().promptTokens(),
				Optional.of(new CallCost(length, service.mean, service.remaining())),
				engine.map(EngineProfile::tokensPerEvent).orElse(0), (produced, complete) -> {
					if (complete) {
						this.estimator.record(features, produced, statedMean);
						service.record(produced);
						this.metrics.recordLengthError(produced / Math.max(1, length.mean()));
					}
					else {
						this.estimator.recordCut(features, produced, statedMean);
					}
				});
	}

	/*
	 * The answer is kept once it is yes, so that the runners are not searched for each
	 * call.
	 */
	private boolean applies(ServiceName service, BooleanSupplier slowdownStated) {
		return switch (this.byCost) {
			case NEVER -> false;
			case ALWAYS -> true;
			case IF_SLOWDOWN_STATED -> this.statingServices.contains(service)
					|| (slowdownStated.getAsBoolean() && this.statingServices.add(service));
		};
	}

	/**
	 * The mean lengths of the responses of a service.
	 */
	private static final class ServiceLengths {

		/** The weight of the newest observation, which averages over 200 responses. */
		private static final double SMOOTHING_FACTOR = 0.005;

		private double mean;

		private double meanSquare;

		/*
		 * The assumed mean square is that of a log-normal distribution whose logarithm
		 * has a standard deviation of 1.
		 */
		private ServiceLengths(double statedMean) {
			this.mean = Math.max(1, statedMean);
			this.meanSquare = Math.E * this.mean * this.mean;
		}

		private void record(double length) {
			this.mean += SMOOTHING_FACTOR * (length - this.mean);
			this.meanSquare += SMOOTHING_FACTOR * (length * length - this.meanSquare);
		}

		/*
		 * The mean of what is left at a random moment. Long responses are in progress
		 * more often than short ones.
		 */
		private double remaining() {
			return this.meanSquare / (2 * this.mean);
		}

	}

}
