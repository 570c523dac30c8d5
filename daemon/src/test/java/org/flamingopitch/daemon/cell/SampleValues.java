package org.flamingopitch.daemon.cell;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.lang.reflect.TypeVariable;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.model.Payload;

/** Builds one value of a type, with all components set, so that its encoded form shows every name. */
final class SampleValues {

    private static final Map<Class<?>, Object> SIMPLE = Map.ofEntries(
            Map.entry(String.class, "a"),
            Map.entry(int.class, 2),
            Map.entry(Integer.class, 2),
            Map.entry(long.class, 3L),
            Map.entry(Long.class, 3L),
            Map.entry(double.class, 1.5),
            Map.entry(Double.class, 1.5),
            Map.entry(boolean.class, true),
            Map.entry(Boolean.class, true),
            Map.entry(byte[].class, new byte[] {1}),
            Map.entry(Instant.class, Instant.ofEpochSecond(1)),
            Map.entry(Duration.class, Duration.ofSeconds(1)),
            Map.entry(FeatureGates.class, FeatureGates.ALL_ON),
            Map.entry(Payload.class, Payload.ofText("a")));

    private SampleValues() {}

    /**
     * Builds a value.
     *
     * @param type the type
     * @return the value
     * @throws UnsupportedTypeException if the type or one of its components is neither a record nor a simple value
     */
    static Object of(Type type) {
        if (type instanceof ParameterizedType parameterized) {
            return container(parameterized);
        }
        if (!(type instanceof Class<?> raw)) {
            throw new UnsupportedTypeException(type);
        }
        if (SIMPLE.containsKey(raw)) {
            return SIMPLE.get(raw);
        }
        if (raw.isEnum()) {
            return raw.getEnumConstants()[0];
        }
        if (raw.isSealed()) {
            return of(subtypes(raw).get(0));
        }
        if (raw.isRecord()) {
            return record(raw);
        }
        throw new UnsupportedTypeException(type);
    }

    /**
     * Lists the subtypes of a sealed type.
     *
     * @param sealedType the type
     * @return its subtypes, sorted by simple name
     */
    static List<Class<?>> subtypes(Class<?> sealedType) {
        List<Class<?>> subtypes = new ArrayList<>(List.of(sealedType.getPermittedSubclasses()));
        subtypes.sort((one, other) -> one.getSimpleName().compareTo(other.getSimpleName()));
        return subtypes;
    }

    /**
     * Calls each method of an object that returns nothing, with sample arguments.
     *
     * @param target the object
     * @throws ReflectiveOperationException if a method cannot be called
     */
    static void callAll(Object target) throws ReflectiveOperationException {
        for (Method method : target.getClass().getDeclaredMethods()) {
            boolean callable = method.getReturnType() == void.class && !method.isSynthetic();
            if (callable) {
                method.setAccessible(true);
                List<Object> arguments = new ArrayList<>();
                for (Type parameter : method.getGenericParameterTypes()) {
                    arguments.add(of(parameter));
                }
                method.invoke(target, arguments.toArray());
            }
        }
    }

    private static Object container(ParameterizedType type) {
        Class<?> raw = (Class<?>) type.getRawType();
        Type[] arguments = type.getActualTypeArguments();
        if (arguments[0] instanceof TypeVariable<?>) {
            throw new UnsupportedTypeException(type);
        }
        if (raw == Map.class) {
            return Map.of(of(arguments[0]), of(arguments[1]));
        }
        if (raw == Optional.class) {
            return Optional.of(of(arguments[0]));
        }
        if (raw == Set.class) {
            return Set.of(of(arguments[0]));
        }
        if (raw == List.class || raw == Collection.class) {
            return List.of(of(arguments[0]));
        }
        throw new UnsupportedTypeException(type);
    }

    private static Object record(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types = new Class<?>[components.length];
        Object[] values = new Object[components.length];
        for (int i = 0; i < components.length; i++) {
            types[i] = components[i].getType();
            values[i] = of(components[i].getGenericType());
        }
        try {
            Constructor<?> constructor = type.getDeclaredConstructor(types);
            constructor.setAccessible(true);
            return constructor.newInstance(values);
        } catch (NoSuchMethodException | InstantiationException | IllegalAccessException e) {
            throw new IllegalStateException("cannot create a sample of " + type, e);
        } catch (InvocationTargetException e) {
            throw new IllegalStateException("cannot create a sample of " + type, e.getCause());
        }
    }

    /** A value of the type cannot be built. */
    static final class UnsupportedTypeException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        UnsupportedTypeException(Type type) {
            super("no sample of " + type);
        }
    }
}
