package rushpin.study;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;

/**
 * Links this program's model to the decision module of another build. The module comes from that jar, the model and the judge from
 * here, all else is shared; only types of the platform pass in and out.
 */
final class BuildLoader extends ClassLoader {
    static {
        registerAsParallelCapable();
    }

    private static final String MODULE = "rushpin.gateway.";
    private final ZipFile jar;

    BuildLoader(Path jar) throws UnusableInputException {
        super("build " + jar, BuildLoader.class.getClassLoader());
        try {
            this.jar = new ZipFile(jar.toFile());
        } catch (IOException e) {
            throw new UnusableInputException("the build " + jar + " cannot be read: " + e.getMessage());
        }
        if (this.jar.getEntry("rushpin/gateway/Gateway.class") == null) {
            throw new UnusableInputException("the build " + jar + " holds no rushpin.gateway.Gateway");
        }
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        if (!name.startsWith(MODULE) && !name.startsWith("rushpin.model.") && !name.startsWith("rushpin.judge.")) {
            return super.loadClass(name, resolve);
        }
        synchronized (getClassLoadingLock(name)) {
            Class<?> known = findLoadedClass(name);
            return known != null ? known : define(name);
        }
    }

    private Class<?> define(String name) throws ClassNotFoundException {
        String path = name.replace('.', '/') + ".class";
        ZipEntry entry = jar.getEntry(path);
        try (InputStream in = !name.startsWith(MODULE)
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
