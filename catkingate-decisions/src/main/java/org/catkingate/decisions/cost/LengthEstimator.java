package org.catkingate.decisions.cost;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An estimator of the length of responses, which learns from finished requests. It keeps
 * a distribution for each route, and for each group of its requests with the same
 * account, hint or length of prompt. Of these features, the one is used that has
 * predicted the lengths of the route best so far, if any is better than the route alone.
 * A group with little evidence is shrunk toward its route, and a route toward the stated
 * mean. The memory is bounded by the number of groups. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class LengthEstimator {

	/**
	 * The maximum numbers of routes and of groups; those that have not been used for the
	 * longest time are forgotten. A group takes about 400 bytes, all together 400 KB.
	 */
	private static final int MAX_ROUTES = 64;

	private static final int MAX_GROUPS = 1024;

	/**
	 * The weight of the route in the estimate of a group, and of the stated mean in that
	 * of a route, in requests.
	 */
	private static final double SHRINKAGE_WEIGHT = 20;

	/**
	 * The spread of lengths that is assumed without evidence, as the standard deviation
	 * of their logarithm; observed spreads are from 0.7 to 1.6.
	 */
	private static final double PRIOR_SPREAD = 1;

	/** The weight of the newest observation in the gain of a feature. */
	private static final double GAIN_SMOOTHING_FACTOR = 0.01;

	/**
	 * The minimum gain of a feature that is used, in nats for each request. The gain of a
	 * feature that says nothing varies by about 0.02.
	 */
	private static final double MIN_GAIN = 0.04;

	private static final RequestFeatures.Kind[] KINDS = RequestFeatures.Kind.values();

	private final Map<String, RouteLengths> routes = createCache(MAX_ROUTES);

	/** The shares without evidence, kept since their computation is the main cost. */
	private double[] priorShares = new double[0];

	private double priorMean = Double.NaN;

	private final Map<Object, LengthCounts> groups = createCache(MAX_GROUPS);

	private static <K, V> Map<K, V> createCache(int maxEntries) {
		return new LinkedHashMap<>(16, 0.75f, true) {

			@Override
			protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
				return size() > maxEntries;
			}

		};
	}

	/**
	 * Estimates the length of a response.
	 * @param features what is known of the request
	 * @param statedMean the mean length without any evidence
	 * @param maxLength the maximum length that the caller accepts, 0 if it states none
	 * @return the estimate, never null
	 */
	public LengthEstimate estimate(RequestFeatures features, double statedMean, double maxLength) {
		RouteLengths route = this.routes.get(features.route());
		double[] weights = routeWeights(route, statedMean);
		int informative = (route != null) ? route.mostInformative() : -1;
		if (informative >= 0) {
			weights = groupWeights(this.groups.get(features.key(KINDS[informative])), weights);
		}
		return LengthEstimate.of(weights, maxLength);
	}

	/**
	 * Records the length of a complete response.
	 * @param features what was known of the request
	 * @param length the length
	 * @param statedMean the mean length without any evidence
	 */
	public void record(RequestFeatures features, double length, double statedMean) {
		int band = LengthBands.of(length);
		RouteLengths route = this.routes.computeIfAbsent(features.route(), (name) -> new RouteLengths());
		double[] routeWeights = routeWeights(route, statedMean);
		double routeShare = routeWeights[band];
		for (RequestFeatures.Kind kind : KINDS) {
			LengthCounts group = group(features.key(kind));
			double share = (group.weight(band) + SHRINKAGE_WEIGHT * routeShare) / (group.total() + SHRINKAGE_WEIGHT);
			route.recordGain(kind, Math.log(share / routeShare));
			group.add(band, 1);
			group.forgetIfFull();
		}
		route.counts.add(band, 1);
		route.counts.forgetIfFull();
	}

	/**
	 * Records a response that was cut or cancelled. Its whole length is unknown, so its
	 * weight is spread over the lengths that it could still have had.
	 * @param features what was known of the request
	 * @param produced the length of what had been produced
	 * @param statedMean the mean length without any evidence
	 */
	public void recordCut(RequestFeatures features, double produced, double statedMean) {
		RouteLengths route = this.routes.computeIfAbsent(features.route(), (name) -> new RouteLengths());
		double[] routeWeights = routeWeights(route, statedMean);
		for (RequestFeatures.Kind kind : KINDS) {
			LengthCounts group = group(features.key(kind));
			spread(group, groupWeights(group, routeWeights), LengthBands.of(produced));
		}
		spread(route.counts, routeWeights, LengthBands.of(produced));
	}

	private static void spread(LengthCounts counts, double[] shares, int firstBand) {
		double total = 0;
		for (int band = firstBand; band < LengthBands.COUNT; band++) {
			total += shares[band];
		}
		for (int band = firstBand; band < LengthBands.COUNT; band++) {
			counts.add(band, shares[band] / total);
		}
		counts.forgetIfFull();
	}

	private LengthCounts group(Object key) {
		return this.groups.computeIfAbsent(key, (absent) -> new LengthCounts());
	}

	private double[] routeWeights(RouteLengths route, double statedMean) {
		if (statedMean != this.priorMean) {
			this.priorShares = priorShares(statedMean);
			this.priorMean = statedMean;
		}
		return shrink((route != null) ? route.counts : null, this.priorShares);
	}

	private static double[] groupWeights(LengthCounts group, double[] routeShares) {
		return shrink(group, routeShares);
	}

	/*
	 * Returns shares with a sum of 1, all of them positive.
	 */
	private static double[] shrink(LengthCounts counts, double[] shares) {
		if (counts == null) {
			return shares;
		}
		double[] result = new double[LengthBands.COUNT];
		double total = counts.total() + SHRINKAGE_WEIGHT;
		for (int band = 0; band < LengthBands.COUNT; band++) {
			result[band] = (counts.weight(band) + SHRINKAGE_WEIGHT * shares[band]) / total;
		}
		return result;
	}

	/*
	 * A log-normal distribution with the stated mean. Far from it, a share so small that
	 * it has no effect keeps all shares positive.
	 */
	private static double[] priorShares(double statedMean) {
		double[] shares = new double[LengthBands.COUNT];
		double logMedian = Math.log(Math.max(1, statedMean)) - PRIOR_SPREAD * PRIOR_SPREAD / 2;
		double total = 0;
		for (int band = 0; band < LengthBands.COUNT; band++) {
			double deviation = (Math.log(LengthBands.middle(band)) - logMedian) / PRIOR_SPREAD;
			shares[band] = Math.exp(-deviation * deviation / 2) + 1e-9;
			total += shares[band];
		}
		for (int band = 0; band < LengthBands.COUNT; band++) {
			shares[band] /= total;
		}
		return shares;
	}

	/**
	 * Returns the number of groups that are kept.
	 * @return the number
	 */
	int groupCount() {
		return this.groups.size();
	}

	/**
	 * What is known of the lengths of one route.
	 */
	private static final class RouteLengths {

		private final LengthCounts counts = new LengthCounts();

		/** How much better each feature predicts the lengths than the route alone. */
		private final double[] gains = new double[KINDS.length];

		private void recordGain(RequestFeatures.Kind kind, double gain) {
			this.gains[kind.ordinal()] += GAIN_SMOOTHING_FACTOR * (gain - this.gains[kind.ordinal()]);
		}

		private int mostInformative() {
			int best = -1;
			double bestGain = MIN_GAIN;
			for (int kind = 0; kind < this.gains.length; kind++) {
				if (this.gains[kind] > bestGain) {
					best = kind;
					bestGain = this.gains[kind];
				}
			}
			return best;
		}

	}

}
