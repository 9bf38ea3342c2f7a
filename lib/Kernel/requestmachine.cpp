//===- requestmachine.cpp - The product's request machine -----------------===//

#include "harelink/Kernel/requestmachineimpl.h"

namespace harelink {

template class BasicRequestMachine<AllGuards>;

} // namespace harelink
