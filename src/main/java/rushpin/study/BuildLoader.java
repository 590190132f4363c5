package rushpin.study;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;

/**
 * Class loader that runs this program's model with the gateway module of another build. Classes of the module are
 * loaded from that build's jar, the model's and the judge's are loaded again from this program, all others are shared.
 * Only JDK types may pass between this loader and its parent.
 */
final class BuildLoader extends ClassLoader {
    static {
        registerAsParallelCapable();
    }

    private static final String MODULE_PREFIX = "rushpin.gateway.";
    private final ZipFile jar;

    /** Opens the jar; throws if it can't be read or contains no gateway module. */
    BuildLoader(Path jar) throws UnusableInputException {
        super("build " + jar, BuildLoader.class.getClassLoader());
        try {
            this.jar = new ZipFile(jar.toFile());
        } catch (IOException e) {
            throw new UnusableInputException("the build " + jar + " cannot be read: " + e.getMessage());
        }
        if (this.jar.getEntry("rushpin/gateway/Gateway.class") == null) {
            throw new UnusableInputException("the build " + jar + " does not contain rushpin.gateway.Gateway");
        }
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        if (!name.startsWith(MODULE_PREFIX)
                && !name.startsWith("rushpin.model.")
                && !name.startsWith("rushpin.judge.")) {
            return super.loadClass(name, resolve);
        }
        synchronized (getClassLoadingLock(name)) {
            Class<?> loaded = findLoadedClass(name);
            return loaded != null ? loaded : define(name);
        }
    }

    private Class<?> define(String name) throws ClassNotFoundException {
        String path = name.replace('.', '/') + ".class";
        ZipEntry entry = jar.getEntry(path);
        try (InputStream in = !name.startsWith(MODULE_PREFIX)
                ? getParent().getResourceAsStream(path)
                : entry == null ? null : jar.getInputStream(entry)) {
            if (in == null) {
                throw new ClassNotFoundException(name);
            }
            byte[] bytes = in.readAllBytes();
            return defineClass(name, bytes, 0, bytes.length);
        } catch (IOException e) {
            throw new ClassNotFoundException(name, e);
        }
    }
}
