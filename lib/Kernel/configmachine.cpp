//===- configmachine.cpp - Configuration instantiation --------------------===//

#include "harelink/Kernel/configmachineimpl.h"

namespace harelink {

template class BasicConfigTable<AllGuards>;
template class BasicConfigWatcher<AllGuards>;

} // namespace harelink
