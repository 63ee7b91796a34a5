package org.sardinebay.desugar;

import java.util.List;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/**
 * Writes the conversions between the types of a functional interface and those of the method that
 * implements it: casts, boxing, unboxing and widening.
 */
final class Conversions {
  private static final List<Type> PRIMITIVES =
      List.of(
          Type.BOOLEAN_TYPE,
          Type.CHAR_TYPE,
          Type.BYTE_TYPE,
          Type.SHORT_TYPE,
          Type.INT_TYPE,
          Type.LONG_TYPE,
          Type.FLOAT_TYPE,
          Type.DOUBLE_TYPE);

  private Conversions() {}

  static boolean isReference(Type type) {
    return type.getSort() == Type.OBJECT || type.getSort() == Type.ARRAY;
  }

  /** Returns the internal name of a primitive type's wrapper. */
  static String wrapper(Type primitive) {
    return switch (primitive.getSort()) {
      case Type.BOOLEAN -> "java/lang/Boolean";
      case Type.CHAR -> "java/lang/Character";
      case Type.BYTE -> "java/lang/Byte";
      case Type.SHORT -> "java/lang/Short";
      case Type.INT -> "java/lang/Integer";
      case Type.LONG -> "java/lang/Long";
      case Type.FLOAT -> "java/lang/Float";
      case Type.DOUBLE -> "java/lang/Double";
      default -> throw new IllegalArgumentException("no wrapper for " + primitive);
    };
  }

  /** Converts the value on top of the stack. */
  static void convert(MethodVisitor code, Type from, Type to) {
    if (from.equals(to)) {
      return;
    }
    if (to.getSort() == Type.VOID) {
      code.visitInsn(from.getSize() == 2 ? Opcodes.POP2 : Opcodes.POP);
    } else if (isReference(from) && isReference(to)) {
      cast(code, to.getInternalName());
    } else if (isReference(from)) {
      unbox(code, from, to);
    } else if (isReference(to)) {
      String descriptor = Type.getMethodDescriptor(Type.getObjectType(wrapper(from)), from);
      code.visitMethodInsn(Opcodes.INVOKESTATIC, wrapper(from), "valueOf", descriptor, false);
    } else {
      widen(code, from, to);
    }
  }

  private static void cast(MethodVisitor code, String type) {
    if (!type.equals("java/lang/Object")) {
      code.visitTypeInsn(Opcodes.CHECKCAST, type);
    }
  }

  /** A wrapper may be unboxed and then widened; any other type is cast to the target's wrapper. */
  private static void unbox(MethodVisitor code, Type from, Type to) {
    Type primitive =
        PRIMITIVES.stream()
            .filter(type -> wrapper(type).equals(from.getInternalName()))
            .findAny()
            .orElse(to);
    String wrapper = wrapper(primitive);
    if (!wrapper.equals(from.getInternalName())) {
      cast(code, wrapper);
    }
    code.visitMethodInsn(
        Opcodes.INVOKEVIRTUAL,
        wrapper,
        primitive.getClassName() + "Value",
        Type.getMethodDescriptor(primitive),
        false);
    widen(code, primitive, to);
  }

  private static void widen(MethodVisitor code, Type from, Type to) {
    switch (to.getSort()) {
      case Type.LONG -> widen(code, from, Opcodes.I2L, Opcodes.NOP, Opcodes.NOP);
      case Type.FLOAT -> widen(code, from, Opcodes.I2F, Opcodes.L2F, Opcodes.NOP);
      case Type.DOUBLE -> widen(code, from, Opcodes.I2D, Opcodes.L2D, Opcodes.F2D);
      default -> {
        // Smaller types are integers on the stack.
      }
    }
  }

  private static void widen(MethodVisitor code, Type from, int ofInt, int ofLong, int ofFloat) {
    int opcode =
        switch (from.getSort()) {
          case Type.LONG -> ofLong;
          case Type.FLOAT -> ofFloat;
          case Type.DOUBLE -> Opcodes.NOP;
          default -> ofInt;
        };
    if (opcode != Opcodes.NOP) {
      code.visitInsn(opcode);
    }
  }
}
