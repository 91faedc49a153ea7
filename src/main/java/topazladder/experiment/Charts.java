package topazladder.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.style.Styler;

/** Draws the tables that experiments print: one group of bars a row, one bar a column that holds numbers. */
public final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final Pattern NUMBER = Pattern.compile("[-+]?\\d+(\\.\\d+)?");

    private Charts() {}

    /**
     * @param table as it is printed, its first column the names of the rows; other text round it is passed over
     * @param columns to draw, by the words at their heads; those that are not there are left out
     * @param file an SVG, its name without or with {@code .svg}
     */
    public static void bars(String table, String title, List<String> columns, Path file) throws IOException {
        List<String[]> rows = table.lines().filter(l -> l.startsWith("|") && !l.startsWith("| ---")).map(Charts::cells)
                .toList();
        if (rows.size() < 2) {
            throw new IOException("there is no table to draw");
        }
        List<String> head = Arrays.asList(rows.get(0));
        List<String> names = rows.stream().skip(1).map(r -> r[0]).toList();
        CategoryChart chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(title).build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS).setLegendLayout(
                Styler.LegendLayout.Horizontal);
        chart.getStyler().setXAxisLabelRotation(names.size() > 5 ? 30 : 0);
        for (String column : columns) {
            int at = head.indexOf(column);
            if (at > 0) {
                List<Double> values = new ArrayList<>();
                rows.stream().skip(1).forEach(r -> values.add(number(r[at])));
                chart.addSeries(column, names, values);
            }
        }
        if (chart.getSeriesMap().isEmpty()) {
            throw new IOException("none of " + columns + " is in " + head);
        }
        String path = file.toString();
        VectorGraphicsEncoder.saveVectorGraphic(chart, path.endsWith(".svg") ? path.substring(0, path.length() - 4)
                : path, VectorGraphicsFormat.SVG);
    }

    private static String[] cells(String row) {
        return Arrays.stream(row.substring(1).split("\\|")).map(String::strip).toArray(String[]::new);
    }

    private static double number(String cell) {
        Matcher m = NUMBER.matcher(cell);
        return m.find() ? Double.parseDouble(m.group()) : 0;
    }
}
