package kelphollow.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The figures of one run. Core share and memory are this process's divided by the number of simulated instances, so they
 * include the tool's own; bytes include headers. A run on a host that could not keep up is void. Confined to one thread.
 */
final class ScaleReport {
    /** Largest valid 99th percentile of the event loops' lateness, in milliseconds; above it, a run is void. */
    static final double MAX_LATENESS = 20;
    private static final double MEGABYTE = 1 << 20;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final List<String> failures;
    private final List<String> missed = new ArrayList<>();
    private final boolean isVoid;

    /** @param real figures of the real instances; empty if there are none */
    ScaleReport(ScaleScenario scenario, ScaleRun run, Map<String, Object> real, double lateness, boolean simulated,
        long seed) {
        this.failures = run.failures();
        this.isVoid = lateness > MAX_LATENESS;
        addScenario(scenario, run, simulated, seed);
        addDissemination(run);
        addCosts(scenario, run);
        addDeaths(run);
        figures.put("late_p99_ms", Percentiles.rounded(lateness));
        figures.put("load", Percentiles.rounded(ResourceMeter.loadAverage()));
        if (!real.isEmpty()) {
            figures.put("real_instances", real);
        }
        scenario.objectives().forEach(this::checkObjective);
        figures.put("failures", failures);
        figures.put("aims_missed", missed);
    }

    private void addScenario(ScaleScenario scenario, ScaleRun run, boolean simulated, long seed) {
        figures.put("scenario", scenario.name());
        figures.put("instances", scenario.instances());
        figures.put("real", scenario.real());
        figures.put("hollow", scenario.simulated());
        figures.put("void", isVoid);
        figures.put("simulated", simulated);
        figures.put("seed", seed);
        figures.put("seconds", Percentiles.rounded(run.measuredSpan() / MILLIS_PER_SECOND));
    }

    private void addDissemination(ScaleRun run) {
        figures.put("parts_fresh_share", run.samples().freshShare());
        figures.put("part_age_ms", run.samples().ages());
        figures.put("drain_ms", run.drains().figures(DrainProbes.Reach.ALL));
        figures.put("drain_region_ms", run.drains().figures(DrainProbes.Reach.REGION));
        figures.put("drain_across_ms", run.drains().figures(DrainProbes.Reach.ACROSS));
        figures.put("drains_told", run.drains().notified());
        figures.put("drains_missed", run.drains().missed());
    }

    private void addCosts(ScaleScenario scenario, ScaleRun run) {
        double seconds = run.measuredSpan() / MILLIS_PER_SECOND;
        figures.put("bytes_per_second", run.samples().bytesOut());
        figures.put("bytes_in_per_second", run.samples().bytesIn());
        figures.put("datagrams_per_second", Percentiles.rounded(run.samples().total().datagramsOut()
            / run.samples().instanceSeconds()));
        figures.put("by_kind", run.samples().byKind());
        figures.put("core_share", Percentiles.rounded(run.resources().processorSeconds() / seconds / scenario.simulated()));
        figures.put("memory_mb", Percentiles.rounded(run.resources().liveBytes() / MEGABYTE / scenario.simulated()));
    }

    private void addDeaths(ScaleRun run) {
        figures.put("joined_ms", Double.isNaN(run.joinedAfter()) ? null : run.joinedAfter());
        figures.put("detection_ms", run.deaths().detection());
        figures.put("undetected", run.deaths().undetected());
        figures.put("false_failures", run.deaths().falseFailures());
        figures.put("false_suspicions", run.deaths().falseSuspicions());
        figures.put("joining_false_failures", run.deaths().falseFailuresJoining());
        figures.put("joining_false_suspicions", run.deaths().falseSuspicionsJoining());
        figures.put("exchanges_turned_away", run.rejectedExchanges());
    }

    private void checkObjective(String objective, double bound) {
        double measured = switch (objective) {
            case "parts_fresh_share" -> figure("parts_fresh_share", "mean");
            case "drain_p99_ms" -> figure("drain_ms", "p99");
            case "bytes_per_second" -> figure("bytes_per_second", "mean");
            default -> ((Number) figures.get(objective)).doubleValue();
        };
        boolean isLowerBound = objective.equals("parts_fresh_share");
        if (isLowerBound ? measured < bound : measured > bound) {
            missed.add(String.format(Locale.ROOT, "%s: %.4g, aim %s %.4g", objective, measured,
                isLowerBound ? "at least" : "at most", bound));
        }
    }

    /** Returns one value, such as {@code p99}, of a figure that has percentiles. */
    double figure(String figure, String key) {
        return ((Number) ((Map<?, ?>) figures.get(figure)).get(key)).doubleValue();
    }

    double number(String figure) {
        return ((Number) figures.get(figure)).doubleValue();
    }

    Map<String, Object> figures() {
        return figures;
    }

    boolean isVoid() {
        return isVoid;
    }

    boolean hasPassed() {
        return !isVoid && failures.isEmpty() && missed.isEmpty();
    }

    List<String> failures() {
        return failures;
    }

    List<String> missed() {
        return missed;
    }

    /** Column headings for {@link #line}. */
    static final String HEADER = String.format("%9s %4s %5s %9s %9s %9s %9s %8s %9s %9s %9s %8s %8s %8s %7s %6s",
        "instances", "real", "", "fresh", "fresh min", "drain p50", "drain p99", "missed", "B/s out", "p99", "B/s in",
        "dgram/s", "core %", "MB", "late", "false");

    /** Returns the run as one row of a table. */
    String line() {
        return String.format(Locale.ROOT,
            "%9.0f %4.0f %5s %9.4f %9.4f %9.0f %9.0f %8.0f %9.0f %9.0f %9.0f %8.1f %8.2f %8.2f %7.1f %6.0f",
            number("instances"), number("real"), isVoid ? "VOID" : "", figure("parts_fresh_share", "mean"),
            figure("parts_fresh_share", "min"), figure("drain_ms", "p50"), figure("drain_ms", "p99"),
            number("drains_missed"), figure("bytes_per_second", "mean"), figure("bytes_per_second", "p99"),
            figure("bytes_in_per_second", "mean"), number("datagrams_per_second"), 100 * number("core_share"),
            number("memory_mb"), number("late_p99_ms"), number("false_failures"));
    }
}
