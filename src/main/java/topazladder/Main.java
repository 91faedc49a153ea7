package topazladder;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.MalformedURLException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import topazladder.config.ExtensionSettings;

/**
 * Entry point. The two plain commands are started here, on nothing but the libraries they need; all else goes to the
 * command line, whose libraries are put on the class path only then, as each would cost the plain ones a descriptor.
 */
public final class Main {
    private static final String COMMANDS = "topazladder.cli.Commands";

    private Main() {}

    public static void main(String[] args) throws Exception {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> Launch.serve(() -> ExtensionSettings.NONE);
            case "wirehost" -> Launch.wirehost();
            default -> commands(args);
        }
    }

    private static void commands(String[] args) throws Exception {
        ClassLoader loader = Main.class.getClassLoader();
        try {
            Class.forName("picocli.CommandLine", false, loader);
        } catch (ClassNotFoundException e) {
            loader = withExtras();
        }
        Thread.currentThread().setContextClassLoader(loader);
        try {
            Class.forName(COMMANDS, true, loader).getMethod("main", String[].class).invoke(null, (Object) args);
        } catch (InvocationTargetException e) {
            throw e.getCause()instanceof Exception cause ? cause : e;
        }
    }

    /** The whole program anew, beside all libraries: parts of it that are loaded already could not see them. */
    private static ClassLoader withExtras() throws IOException {
        List<URL> urls = new ArrayList<>();
        try {
            Path jar = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            urls.add(jar.toUri().toURL());
            for (String folder : List.of("lib", "extra")) {
                Path libraries = jar.resolveSibling(folder);
                if (!Files.isDirectory(libraries)) {
                    System.err.println("topazladder: the folder " + folder
                            + " is missing beside the program; build it anew");
                    System.exit(2);
                }
                try (Stream<Path> all = Files.list(libraries)) {
                    for (Path each : (Iterable<Path>) all.sorted()::iterator) {
                        urls.add(each.toUri().toURL());
                    }
                }
            }
        } catch (URISyntaxException | MalformedURLException e) {
            throw new IOException("the program does not know where it lies", e);
        }
        return new URLClassLoader(urls.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
    }
}
