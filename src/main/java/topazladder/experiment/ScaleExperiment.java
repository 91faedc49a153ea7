package topazladder.experiment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import topazladder.rig.RoleCost;
import topazladder.rig.ScaleCluster;
import topazladder.rig.ScaleLimits;
import topazladder.rig.ScaleMeasurement;
import topazladder.rig.ScaleMeasurement.Role;
import topazladder.rig.ScaleSettings;

/**
 * What a cluster costs each role as it grows: clusters of several sizes on loopback, hollow members beside real
 * processes, a line fitted to each figure, and one size held back from the fit to test it. Also what one size costs by
 * leases, voters and membership changes, whether a hollow member costs what a real one does, and how soon deaths are
 * known.
 */
public final class ScaleExperiment {
    private static final int WIDTH = 700;
    private static final int HEIGHT = 420;
    private static final double MOST_FAILURE_SECONDS = 240;

    private final ScaleResults results;
    private final PrintStream progress;
    private final Path folder;
    private final StringBuilder report = new StringBuilder();

    /**
     * @param folder where {@code results.jsonl}, {@code report.md} and the charts go
     * @param progress told of each step
     */
    public ScaleExperiment(Path folder, PrintStream progress) throws IOException {
        this.folder = folder;
        this.progress = progress;
        Files.createDirectories(folder);
        results = new ScaleResults(folder.resolve("results.jsonl"), commit());
        report.append("Commit ").append(commit()).append("; hollow and real processes on loopback.\n\n");
    }

    /** The table of all that was measured so far. */
    public String report() throws IOException {
        Files.writeString(folder.resolve("report.md"), report);
        return report.toString();
    }

    private ScaleMeasurement measure(ScaleSettings settings) throws Exception {
        var before = results.with(settings);
        if (before.isPresent()) {
            progress.println("have " + settings);
            return before.get();
        }
        ScaleLimits.check(settings);
        progress.println("measuring " + settings);
        long begin = System.nanoTime();
        try (ScaleCluster cluster = new ScaleCluster(settings)) {
            ScaleMeasurement measured = cluster.measure();
            results.add(measured);
            progress.printf(Locale.ROOT, "took %.0f s%n", (System.nanoTime() - begin) / 1e9);
            return measured;
        }
    }

    /** By members: a table, a line for each role and figure, and a chart for each figure. */
    public void sizes(ScaleSettings base, List<Integer> members, int heldBack, int target) throws Exception {
        List<ScaleMeasurement> all = new ArrayList<>();
        for (int size : members) {
            all.add(measure(base.withHollow(size - base.real() - base.voters())));
        }
        report.append("## By members\n\n");
        measurements(all, m -> String.valueOf(m.members()), "members");
        slopes(all, heldBack, target);
        for (RoleCost.Figure figure : RoleCost.FIGURES) {
            chart(all, figure);
        }
    }

    /** Of one size, by leases, voters and membership changes a minute. */
    public void others(ScaleSettings base, List<Integer> leases, List<Integer> voters, List<Double> changes)
            throws Exception {
        List<ScaleMeasurement> all = new ArrayList<>();
        for (int n : leases) {
            all.add(measure(base.withLeases(n)));
        }
        report.append("## By leases, of ").append(base.members()).append(" members\n\n");
        measurements(all, m -> String.valueOf(m.settings().leases()), "leases");
        all.clear();
        for (int n : voters) {
            all.add(measure(base.withVoters(n)));
        }
        report.append("## By voters, of ").append(base.members()).append(" members\n\n");
        measurements(all, m -> String.valueOf(m.settings().voters()), "voters");
        all.clear();
        for (double n : changes) {
            all.add(measure(base.withChanges(n)));
        }
        report.append("## By membership changes a minute, of ").append(base.members()).append(" members\n\n");
        measurements(all, m -> String.valueOf(m.settings().changes()), "changes a minute");
    }

    /** The same cluster with its members that do not vote once real and once hollow, without callers. */
    public void compare(ScaleSettings base, int members) throws Exception {
        int others = members - base.voters();
        ScaleSettings idle = new ScaleSettings(0, others, base.voters(), base.leases(), 0, base.settleSeconds(),
                base.seconds(), 1, 0, base.seed());
        ScaleMeasurement real = measure(idle);
        ScaleMeasurement hollow = measure(idle.withReal(0).withHollow(others));
        report.append("## A hollow member beside a real one, of ").append(members)
                .append(" members without callers, each a process of its own\n\n| figure of one member | real | hollow")
                .append(" | hollow to real |\n| --- | --- | --- | --- |\n");
        for (RoleCost.Figure f : RoleCost.FIGURES) {
            double is = f.value().applyAsDouble(real.costs().get(Role.MEMBER));
            double was = f.value().applyAsDouble(hollow.costs().get(Role.HOLLOW_MEMBER));
            report.append(String.format(Locale.ROOT, "| %s | %s | %s | %.2f |%n", f.name(), number(is), number(was),
                    was / is));
        }
        report.append('\n');
    }

    /** How soon crashes are known: of one member, of a rack, of a zone, and the leader's. */
    public void failures(ScaleSettings base, List<Integer> crashes) throws Exception {
        report.append("## Crashes, of ").append(base.members()).append(" members\n\n| ended at once | half knew, s | ")
                .append("all knew, s | entries wrongly not alive | bytes out/s of a member |\n")
                .append("| --- | --- | --- | --- | --- |\n");
        for (int n : crashes) {
            progress.println("ending " + n + " of " + base.members());
            try (ScaleCluster cluster = new ScaleCluster(base)) {
                Thread.sleep((long) (base.settleSeconds() * 1000));
                ScaleCluster.FailureResult r = cluster.crash(n, MOST_FAILURE_SECONDS);
                report.append(String.format(Locale.ROOT, "| %d hollow | %.1f | %.1f | %d | %.0f |%n", n, r.halfKnow(),
                        r.allKnow(), r.falseNotAlive(), r.bytesOut()));
                if (n == crashes.get(crashes.size() - 1)) {
                    report.append(String.format(Locale.ROOT, "| the leader | another led after %.1f s | | | |%n",
                            cluster.crashLeader(MOST_FAILURE_SECONDS)));
                }
            }
        }
        report.append('\n');
    }

    // ---- tables and charts

    private interface Label {
        String of(ScaleMeasurement m);
    }

    private void measurements(List<ScaleMeasurement> all, Label label, String by) {
        for (Role role : Role.values()) {
            if (all.stream().noneMatch(m -> m.costs().containsKey(role))) {
                continue;
            }
            report.append(role.name()).append(":\n\n| ").append(by);
            RoleCost.FIGURES.forEach(f -> report.append(" | ").append(f.name()));
            report.append(" |\n|").append(" --- |".repeat(RoleCost.FIGURES.size() + 1)).append('\n');
            for (ScaleMeasurement m : all) {
                RoleCost cost = m.costs().get(role);
                if (cost != null) {
                    report.append("| ").append(label.of(m));
                    RoleCost.FIGURES.forEach(f -> report.append(" | ").append(number(f.value().applyAsDouble(cost))));
                    report.append(" |\n");
                }
            }
            report.append('\n');
        }
        report.append("| ").append(by).append(" | hollow members answered within 30 s | entries not alive | ")
                .append("log entries a minute | leader's store, bytes | leader changed |\n")
                .append("| --- | --- | --- | --- | --- | --- |\n");
        for (ScaleMeasurement m : all) {
            report.append(String.format(Locale.ROOT, "| %s | %.3f | %d | %.1f | %d | %s |%n", label.of(m),
                    m.answered(), m.notAlive(), m.logEntries(), m.logBytes(), m.leaderChanged() ? "yes" : "no"));
        }
        report.append('\n');
    }

    private void slopes(List<ScaleMeasurement> all, int heldBack, int target) {
        report.append("Fitted lines; ").append(heldBack).append(" members are held back from the fit:\n\n| role | ")
                .append("figure | slope a member | 95% ± | at 0 | residual | predicted at ").append(heldBack)
                .append(" | measured | miss | at ").append(target).append(" |\n")
                .append("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (Role role : Role.values()) {
            for (RoleCost.Figure f : RoleCost.FIGURES) {
                List<Slope.Point> points = points(all, role, f);
                if (points.size() > 1) {
                    report.append(row(role, f, Slope.of(points, heldBack), target));
                }
            }
        }
        report.append('\n');
    }

    private static String row(Role role, RoleCost.Figure figure, Slope s, int target) {
        Slope.Prediction p = s.heldBack();
        String held = p == null ? " | |" : String.format(Locale.ROOT, "%s | %s | %.0f%%", number(p.predicted()),
                number(p.measured()), 100 * p.miss());
        return String.format(Locale.ROOT, "| %s | %s | %.5g | %.2g | %s | %s | %s | %s |%n", role.name(),
                figure.name(), s.slope(), s.interval(), number(s.intercept()), number(s.residual()), held,
                number(s.at(target)));
    }

    private static List<Slope.Point> points(List<ScaleMeasurement> all, Role role, RoleCost.Figure f) {
        return all.stream().filter(m -> m.costs().containsKey(role))
                .map(m -> new Slope.Point(m.members(), f.value().applyAsDouble(m.costs().get(role)))).toList();
    }

    private void chart(List<ScaleMeasurement> all, RoleCost.Figure figure) throws IOException {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(figure.name() + " by members")
                .xAxisTitle("members").yAxisTitle(figure.name()).build();
        Map<Role, List<Slope.Point>> series = new LinkedHashMap<>();
        for (Role role : Role.values()) {
            List<Slope.Point> points = points(all, role, figure);
            if (!points.isEmpty()) {
                series.put(role, points);
            }
        }
        series.forEach((role, points) -> chart.addSeries(role.name(),
                points.stream().mapToDouble(Slope.Point::x).toArray(),
                points.stream().mapToDouble(Slope.Point::y).toArray()).setMarker(SeriesMarkers.CIRCLE));
        String name = figure.name().replaceAll("[^a-z]+", "-");
        VectorGraphicsEncoder.saveVectorGraphic(chart, folder.resolve(name).toString(), VectorGraphicsFormat.SVG);
    }

    private static String number(double value) {
        return Math.abs(value) >= 100 ? String.format(Locale.ROOT, "%.0f", value)
                : String.format(Locale.ROOT, "%.3g", value);
    }

    private static String commit() {
        try {
            Process git = new ProcessBuilder("git", "rev-parse", "--short", "HEAD").start();
            try (BufferedReader out = new BufferedReader(new InputStreamReader(git.getInputStream(),
                    StandardCharsets.UTF_8))) {
                String line = out.readLine();
                return line == null ? "unknown" : line;
            }
        } catch (IOException e) {
            return "unknown";
        }
    }
}
