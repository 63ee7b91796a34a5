package org.sardinebay.desugar;

import java.util.Arrays;
import java.util.List;
import org.objectweb.asm.Handle;
import org.objectweb.asm.Label;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/** Writes {@code equals}, {@code hashCode} and {@code toString} of a record. */
final class RecordMethods {
  private static final int HASH_FACTOR = 31;
  private static final String BUILDER = "java/lang/StringBuilder";
  private static final String OBJECTS = "java/util/Objects";

  private RecordMethods() {}

  static void write(MethodVisitor code, String method, String owner, Object... arguments) {
    // The record's class and the names of its components come before the getters.
    List<Handle> fields =
        Arrays.stream(arguments).skip(2).map(argument -> (Handle) argument).toList();
    switch (method) {
      case "equals" -> writeEquals(code, owner, fields);
      case "hashCode" -> writeHashCode(code, owner, fields);
      default -> writeToString(code, owner, fields);
    }
  }

  private static void writeEquals(MethodVisitor code, String owner, List<Handle> fields) {
    Label different = new Label();
    code.visitVarInsn(Opcodes.ALOAD, 1);
    code.visitTypeInsn(Opcodes.INSTANCEOF, owner);
    code.visitJumpInsn(Opcodes.IFEQ, different);
    for (Handle field : fields) {
      load(code, owner, field);
      code.visitVarInsn(Opcodes.ALOAD, 1);
      code.visitTypeInsn(Opcodes.CHECKCAST, owner);
      code.visitFieldInsn(Opcodes.GETFIELD, owner, field.getName(), field.getDesc());
      compare(code, Type.getType(field.getDesc()), different);
    }
    code.visitInsn(Opcodes.ICONST_1);
    code.visitInsn(Opcodes.IRETURN);
    code.visitLabel(different);
    code.visitFrame(Opcodes.F_SAME, 0, null, 0, null);
    code.visitInsn(Opcodes.ICONST_0);
    code.visitInsn(Opcodes.IRETURN);
  }

  private static void compare(MethodVisitor code, Type type, Label different) {
    switch (type.getSort()) {
      case Type.LONG -> {
        code.visitInsn(Opcodes.LCMP);
        code.visitJumpInsn(Opcodes.IFNE, different);
      }
      case Type.FLOAT, Type.DOUBLE -> {
        String descriptor = Type.getMethodDescriptor(Type.INT_TYPE, type, type);
        String wrapper = Conversions.wrapper(type);
        code.visitMethodInsn(Opcodes.INVOKESTATIC, wrapper, "compare", descriptor, false);
        code.visitJumpInsn(Opcodes.IFNE, different);
      }
      case Type.OBJECT, Type.ARRAY -> {
        String descriptor = "(Ljava/lang/Object;Ljava/lang/Object;)Z";
        code.visitMethodInsn(Opcodes.INVOKESTATIC, OBJECTS, "equals", descriptor, false);
        code.visitJumpInsn(Opcodes.IFEQ, different);
      }
      default -> code.visitJumpInsn(Opcodes.IF_ICMPNE, different);
    }
  }

  private static void writeHashCode(MethodVisitor code, String owner, List<Handle> fields) {
    code.visitInsn(Opcodes.ICONST_0);
    for (Handle field : fields) {
      code.visitIntInsn(Opcodes.BIPUSH, HASH_FACTOR);
      code.visitInsn(Opcodes.IMUL);
      load(code, owner, field);
      Type type = Type.getType(field.getDesc());
      boolean reference = Conversions.isReference(type);
      code.visitMethodInsn(
          Opcodes.INVOKESTATIC,
          reference ? OBJECTS : Conversions.wrapper(type),
          "hashCode",
          reference ? "(Ljava/lang/Object;)I" : Type.getMethodDescriptor(Type.INT_TYPE, type),
          false);
      code.visitInsn(Opcodes.IADD);
    }
    code.visitInsn(Opcodes.IRETURN);
  }

  private static void writeToString(MethodVisitor code, String owner, List<Handle> fields) {
    code.visitTypeInsn(Opcodes.NEW, BUILDER);
    code.visitInsn(Opcodes.DUP);
    code.visitMethodInsn(Opcodes.INVOKESPECIAL, BUILDER, "<init>", "()V", false);
    code.visitLdcInsn(Type.getObjectType(owner));
    code.visitMethodInsn(
        Opcodes.INVOKEVIRTUAL, "java/lang/Class", "getSimpleName", "()Ljava/lang/String;", false);
    append(code, "Ljava/lang/String;");
    String separator = "[";
    for (Handle field : fields) {
      code.visitLdcInsn(separator + field.getName() + "=");
      append(code, "Ljava/lang/String;");
      load(code, owner, field);
      Type type = Type.getType(field.getDesc());
      String descriptor = Conversions.isReference(type) ? "Ljava/lang/Object;" : field.getDesc();
      boolean small = type.getSort() == Type.BYTE || type.getSort() == Type.SHORT;
      append(code, small ? "I" : descriptor);
      separator = ", ";
    }
    code.visitLdcInsn(fields.isEmpty() ? "[]" : "]");
    append(code, "Ljava/lang/String;");
    code.visitMethodInsn(Opcodes.INVOKEVIRTUAL, BUILDER, "toString", "()Ljava/lang/String;", false);
    code.visitInsn(Opcodes.ARETURN);
  }

  private static void load(MethodVisitor code, String owner, Handle field) {
    code.visitVarInsn(Opcodes.ALOAD, 0);
    code.visitFieldInsn(Opcodes.GETFIELD, owner, field.getName(), field.getDesc());
  }

  private static void append(MethodVisitor code, String type) {
    code.visitMethodInsn(
        Opcodes.INVOKEVIRTUAL, BUILDER, "append", "(" + type + ")Ljava/lang/StringBuilder;", false);
  }
}
