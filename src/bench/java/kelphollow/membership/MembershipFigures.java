package kelphollow.membership;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import kelphollow.membership.Output.Kind;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Time to detect, false accusations and load against size and loss, on the simulation's clock. Prints a table and writes
 * pictures: {@code mvn -B -q -Pbench test-compile exec:exec@membership}.
 */
public final class MembershipFigures {
    private static final int[] SIZES = {5, 20, 100, 500};
    private static final int LARGE = 500;
    private static final double[] LOSSES = {0, 0.1, 0.3};

    private MembershipFigures() {}

    public static void main(String[] args) throws IOException {
        System.out.println(
            "| size | loss | first sees death, rounds | all see it, rounds | suspicions of living a minute and "
                + "instance | deaths of living | datagrams a second and instance |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        Map<Double, List<Double>> all = new HashMap<>();
        for (int size : SIZES) {
            for (double loss : LOSSES) {
                if (size >= LARGE && loss > 0) {
                    continue;              // minutes each: its suspicions are many
                }
                double first = 0, last = 0, wrong = 0, dead = 0, sent = 0;
                int seeds = size >= LARGE ? 1 : 5;
                for (int seed = 1; seed <= seeds; seed++) {
                    FleetWorld w = new FleetWorld(seed, Settings.USUAL);
                    w.fleet(size);
                    w.run(20_000);
                    w.loss = loss;
                    w.seen.clear();
                    long before = w.messages;
                    w.run(w.now + 30_000);
                    sent += (w.messages - before) / 30.0 / size / seeds;
                    wrong += w.seen(Kind.SUSPECTED, 0).stream().filter(s -> s.by().equals("i3")).count() * 2.0 / seeds;
                    dead += w.seen(Kind.FAILED, 0).stream().map(FleetWorld.Seen::of).distinct().count() / (double) seeds;
                    w.seen.clear();
                    double from = w.now;
                    w.kill("i4");
                    w.run(from + 60_000);
                    List<FleetWorld.Seen> found = w.seen(Kind.FAILED, from).stream().filter(s -> s.of().equals("i4"))
                        .toList();
                    first += (found.stream().mapToDouble(FleetWorld.Seen::at).min().orElse(Double.NaN) - from) / 500 / seeds;
                    last += (found.stream().mapToDouble(FleetWorld.Seen::at).max().orElse(Double.NaN) - from) / 500 / seeds;
                }
                System.out.printf(Locale.ROOT, "| %d | %.1f | %.1f | %.1f | %.2f | %.1f | %.1f |%n", size, loss, first, last,
                    wrong,
                    dead, sent);
                all.computeIfAbsent(loss, l -> new ArrayList<>()).add(last);
            }
        }
        XYChart chart = new XYChartBuilder().width(800).height(420).title("Rounds until all see a death").xAxisTitle(
            "instances")
            .yAxisTitle("rounds").build();
        chart.getStyler().setXAxisLogarithmic(true);
        List<Double> sizes = new ArrayList<>();
        for (int size : SIZES) {
            sizes.add((double) size);
        }
        for (double loss : LOSSES) {
            chart.addSeries("loss " + loss, sizes.subList(0, all.get(loss).size()), all.get(loss));
        }
        BitmapEncoder.saveBitmap(chart, "docs/measurements/membership-detection.png", BitmapEncoder.BitmapFormat.PNG);
    }
}
