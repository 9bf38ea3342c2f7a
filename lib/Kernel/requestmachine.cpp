//===- requestmachine.cpp - Production request machine --------------------===//

#include "harelink/Kernel/requestmachineimpl.h"

namespace harelink {

template class BasicRequestMachine<AllGuards>;

} // namespace harelink
