package org.sardinebay.desugar;

import java.util.ArrayList;
import java.util.List;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.FieldVisitor;
import org.objectweb.asm.Handle;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/**
 * Writes the class of one lambda or method reference: it keeps the captured values in fields and
 * passes them and the arguments on to the implementing method. Without captured values there is a
 * single instance, as {@code LambdaMetafactory} has it.
 */
final class LambdaClass {
  /** The static method that returns an instance for the captured values. */
  static final String FACTORY = "create";

  private static final String INSTANCE = "INSTANCE";
  private static final String INIT = "<init>";

  private final String name;
  private final String nestHost;
  private final String owner;
  private final String method;
  private final Type factory;
  private final Type erased;
  private final Handle implementation;
  private final Type instantiated;

  /**
   * Describes the class.
   *
   * @param name its internal name
   * @param nestHost the host of its nest
   * @param owner the class that contains the lambda
   * @param method the name of the interface's method
   * @param factory the type of the call site: captured values to the interface
   * @param arguments the bootstrap arguments: erased method type, implementation, actual type
   */
  LambdaClass(
      String name,
      String nestHost,
      String owner,
      String method,
      Type factory,
      Object... arguments) {
    this.name = name;
    this.nestHost = nestHost;
    this.owner = owner;
    this.method = method;
    this.factory = factory;
    this.erased = (Type) arguments[0];
    this.implementation = (Handle) arguments[1];
    this.instantiated = (Type) arguments[2];
  }

  byte[] write() {
    ClassWriter writer = new ClassWriter(ClassWriter.COMPUTE_MAXS);
    int access = Opcodes.ACC_FINAL | Opcodes.ACC_SUPER | Opcodes.ACC_SYNTHETIC;
    String iface = factory.getReturnType().getInternalName();
    writer.visit(Opcodes.V11, access, name, null, "java/lang/Object", new String[] {iface});
    writer.visitNestHost(nestHost);
    for (int i = 0; i < captured().length; i++) {
      field(writer, Opcodes.ACC_PRIVATE | Opcodes.ACC_FINAL, fieldName(i), captured()[i]);
    }
    writeConstructor(writer);
    writeFactory(writer);
    writeMethod(writer);
    writer.visitEnd();
    return writer.toByteArray();
  }

  private Type[] captured() {
    return factory.getArgumentTypes();
  }

  private static String fieldName(int index) {
    return "captured" + index;
  }

  private static void field(ClassWriter writer, int access, String name, Type type) {
    FieldVisitor field = writer.visitField(access, name, type.getDescriptor(), null, null);
    field.visitEnd();
  }

  private String constructorDescriptor() {
    return Type.getMethodDescriptor(Type.VOID_TYPE, captured());
  }

  private void writeConstructor(ClassWriter writer) {
    MethodVisitor code =
        writer.visitMethod(Opcodes.ACC_PRIVATE, INIT, constructorDescriptor(), null, null);
    code.visitCode();
    code.visitVarInsn(Opcodes.ALOAD, 0);
    code.visitMethodInsn(Opcodes.INVOKESPECIAL, "java/lang/Object", INIT, "()V", false);
    int local = 1;
    for (int i = 0; i < captured().length; i++) {
      Type type = captured()[i];
      code.visitVarInsn(Opcodes.ALOAD, 0);
      code.visitVarInsn(type.getOpcode(Opcodes.ILOAD), local);
      code.visitFieldInsn(Opcodes.PUTFIELD, name, fieldName(i), type.getDescriptor());
      local += type.getSize();
    }
    end(code, Opcodes.RETURN);
  }

  private void writeFactory(ClassWriter writer) {
    Type self = Type.getObjectType(name);
    if (captured().length == 0) {
      int access = Opcodes.ACC_PRIVATE | Opcodes.ACC_STATIC | Opcodes.ACC_FINAL;
      field(writer, access, INSTANCE, self);
      MethodVisitor code = writer.visitMethod(Opcodes.ACC_STATIC, "<clinit>", "()V", null, null);
      code.visitCode();
      create(code);
      code.visitFieldInsn(Opcodes.PUTSTATIC, name, INSTANCE, self.getDescriptor());
      end(code, Opcodes.RETURN);
    }
    MethodVisitor code =
        writer.visitMethod(Opcodes.ACC_STATIC, FACTORY, factory.getDescriptor(), null, null);
    code.visitCode();
    if (captured().length == 0) {
      code.visitFieldInsn(Opcodes.GETSTATIC, name, INSTANCE, self.getDescriptor());
    } else {
      create(code);
    }
    end(code, Opcodes.ARETURN);
  }

  private void create(MethodVisitor code) {
    code.visitTypeInsn(Opcodes.NEW, name);
    code.visitInsn(Opcodes.DUP);
    int local = 0;
    for (Type type : captured()) {
      code.visitVarInsn(type.getOpcode(Opcodes.ILOAD), local);
      local += type.getSize();
    }
    code.visitMethodInsn(Opcodes.INVOKESPECIAL, name, INIT, constructorDescriptor(), false);
  }

  private void writeMethod(ClassWriter writer) {
    MethodVisitor code =
        writer.visitMethod(Opcodes.ACC_PUBLIC, method, erased.getDescriptor(), null, null);
    code.visitCode();
    boolean constructor = implementation.getTag() == Opcodes.H_NEWINVOKESPECIAL;
    if (constructor) {
      code.visitTypeInsn(Opcodes.NEW, implementation.getOwner());
      code.visitInsn(Opcodes.DUP);
    }
    List<Type> targets = targets();
    for (int i = 0; i < captured().length; i++) {
      Type type = captured()[i];
      code.visitVarInsn(Opcodes.ALOAD, 0);
      code.visitFieldInsn(Opcodes.GETFIELD, name, fieldName(i), type.getDescriptor());
      Conversions.convert(code, type, targets.get(i));
    }
    int local = 1;
    Type[] parameters = erased.getArgumentTypes();
    for (int i = 0; i < parameters.length; i++) {
      Type actual = instantiated.getArgumentTypes()[i];
      code.visitVarInsn(parameters[i].getOpcode(Opcodes.ILOAD), local);
      Conversions.convert(code, parameters[i], actual);
      Conversions.convert(code, actual, targets.get(captured().length + i));
      local += parameters[i].getSize();
    }
    invoke(code);
    Type returned =
        constructor
            ? Type.getObjectType(implementation.getOwner())
            : Type.getReturnType(implementation.getDesc());
    Type result = erased.getReturnType();
    if (result.getSort() == Type.VOID) {
      Conversions.convert(code, returned, result);
    } else {
      Conversions.convert(code, returned, instantiated.getReturnType());
      Conversions.convert(code, instantiated.getReturnType(), result);
    }
    end(code, result.getOpcode(Opcodes.IRETURN));
  }

  /** Returns the types that the implementing method takes, its receiver first. */
  private List<Type> targets() {
    List<Type> targets = new ArrayList<>();
    if (implementation.getTag() != Opcodes.H_INVOKESTATIC
        && implementation.getTag() != Opcodes.H_NEWINVOKESPECIAL) {
      targets.add(Type.getObjectType(implementation.getOwner()));
    }
    targets.addAll(List.of(Type.getArgumentTypes(implementation.getDesc())));
    return targets;
  }

  /** Private methods of the class that contains the lambda are called as those of a nest mate. */
  private void invoke(MethodVisitor code) {
    int opcode =
        switch (implementation.getTag()) {
          case Opcodes.H_INVOKESTATIC -> Opcodes.INVOKESTATIC;
          case Opcodes.H_NEWINVOKESPECIAL -> Opcodes.INVOKESPECIAL;
          case Opcodes.H_INVOKEINTERFACE -> Opcodes.INVOKEINTERFACE;
          case Opcodes.H_INVOKESPECIAL -> {
            if (!implementation.getOwner().equals(owner)) {
              throw new IllegalStateException("call of a superclass in " + name);
            }
            yield implementation.isInterface() ? Opcodes.INVOKEINTERFACE : Opcodes.INVOKEVIRTUAL;
          }
          default -> Opcodes.INVOKEVIRTUAL;
        };
    code.visitMethodInsn(
        opcode,
        implementation.getOwner(),
        implementation.getName(),
        implementation.getDesc(),
        implementation.isInterface());
  }

  private static void end(MethodVisitor code, int opcode) {
    code.visitInsn(opcode);
    code.visitMaxs(0, 0);
    code.visitEnd();
  }
}
