package org.catkingate.decisions.idempotency;

import java.util.ArrayList;
import java.util.List;

/**
 * The views that a process has held of one service, and since when. Immutable and safe
 * for use by any thread.
 *
 * @param held the views, oldest first; each ends when the next begins
 * @since 0.1
 */
public record ViewHistory(List<HeldView> held) {

	/** How many views are kept; an older one shortens what the history covers. */
	public static final int MAX_VIEWS = 16;

	private static final ViewHistory EMPTY = new ViewHistory(List.of());

	public ViewHistory {
		held = List.copyOf(held);
	}

	/**
	 * Returns the history of a process that has just started.
	 * @return a history without views, never null
	 */
	public static ViewHistory empty() {
		return EMPTY;
	}

	/**
	 * Takes note of the view in force.
	 * @param view the view
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @return the longer history, or this one if the view is not new
	 */
	public ViewHistory observe(HomeView view, long nowMillis) {
		if (!this.held.isEmpty() && latest().equals(view)) {
			return this;
		}
		List<HeldView> longer = new ArrayList<>(this.held);
		longer.add(new HeldView(view, view.fingerprint(), nowMillis));
		if (longer.size() > MAX_VIEWS) {
			longer.remove(0);
		}
		return new ViewHistory(longer);
	}

	/**
	 * Forgets what was before a time, as if the process had started then.
	 * @param startMillis the time, in milliseconds of the monotonic clock
	 * @return the shorter history, never null
	 */
	public ViewHistory startingAt(long startMillis) {
		List<HeldView> later = new ArrayList<>();
		for (int index = 0; index < this.held.size(); index++) {
			HeldView view = this.held.get(index);
			if (endMillis(index) > startMillis) {
				later.add(new HeldView(view.view(), view.fingerprint(), Math.max(view.sinceMillis(), startMillis)));
			}
		}
		return new ViewHistory(later);
	}

	HomeView latest() {
		return this.held.get(this.held.size() - 1).view();
	}

	boolean isEmpty() {
		return this.held.isEmpty();
	}

	long coveredMillis(long nowMillis) {
		return (this.held.isEmpty()) ? 0 : nowMillis - this.held.get(0).sinceMillis();
	}

	/**
	 * How long ago each view ended.
	 * @param nowMillis the time
	 * @return the views, oldest first; 0 for the one in force
	 */
	List<KeyStatement.StatedView> statedViews(long nowMillis) {
		List<KeyStatement.StatedView> stated = new ArrayList<>();
		for (int index = 0; index < this.held.size(); index++) {
			long end = Math.min(nowMillis, endMillis(index));
			stated.add(new KeyStatement.StatedView(this.held.get(index).fingerprint(), nowMillis - end));
		}
		return stated;
	}

	private long endMillis(int index) {
		return (index + 1 < this.held.size()) ? this.held.get(index + 1).sinceMillis() : Long.MAX_VALUE;
	}

	/**
	 * One view and since when it was held. Immutable.
	 *
	 * @param view the view
	 * @param fingerprint its fingerprint
	 * @param sinceMillis when it began, in milliseconds of the monotonic clock
	 */
	public record HeldView(HomeView view, long fingerprint, long sinceMillis) {

	}

}
