package org.catkingate.decisions.idempotency;

import java.util.ArrayList;
import java.util.List;

/**
 * The history of the views that a process has held of one service. Immutable and safe for
 * use by any thread.
 *
 * @param held the views, oldest first; each ends when the next begins
 * @since 0.1
 */
public record ViewHistory(List<HeldView> held) {

	/**
	 * The maximum number of views; removing the oldest shortens the time that the history
	 * covers.
	 */
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
	 * Records the view in force.
	 * @param view the view
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @return the extended history, or this one if the view has not changed
	 */
	public ViewHistory observe(HomeView view, long nowMillis) {
		if (!this.held.isEmpty() && latest().equals(view)) {
			return this;
		}
		List<HeldView> extended = new ArrayList<>(this.held);
		extended.add(new HeldView(view, view.fingerprint(), nowMillis));
		if (extended.size() > MAX_VIEWS) {
			extended.remove(0);
		}
		return new ViewHistory(extended);
	}

	/**
	 * Returns the history without what was before a time, as if the process had started
	 * then.
	 * @param startMillis the time, in milliseconds of the monotonic clock
	 * @return the shorter history, never null
	 */
	public ViewHistory startingAt(long startMillis) {
		List<HeldView> shortened = new ArrayList<>();
		for (int index = 0; index < this.held.size(); index++) {
			HeldView view = this.held.get(index);
			if (endMillis(index) > startMillis) {
				shortened.add(new HeldView(view.view(), view.fingerprint(), Math.max(view.sinceMillis(), startMillis)));
			}
		}
		return new ViewHistory(shortened);
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
	 * Returns for each view how long ago it ended.
	 * @param nowMillis the time, in milliseconds of the monotonic clock
	 * @return the views, oldest first; 0 for the one in force
	 */
	List<KeyStatement.StatedView> statedViews(long nowMillis) {
		List<KeyStatement.StatedView> stated = new ArrayList<>();
		for (int index = 0; index < this.held.size(); index++) {
			long endMillis = Math.min(nowMillis, endMillis(index));
			stated.add(new KeyStatement.StatedView(this.held.get(index).fingerprint(), nowMillis - endMillis));
		}
		return stated;
	}

	private long endMillis(int index) {
		return (index + 1 < this.held.size()) ? this.held.get(index + 1).sinceMillis() : Long.MAX_VALUE;
	}

	/**
	 * A view and the time since which it was held. Immutable.
	 *
	 * @param view the view
	 * @param fingerprint its fingerprint
	 * @param sinceMillis when it began, in milliseconds of the monotonic clock
	 */
	public record HeldView(HomeView view, long fingerprint, long sinceMillis) {

	}

}
