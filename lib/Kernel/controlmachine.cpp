//===- controlmachine.cpp - Control plane instantiation -------------------===//

#include "harelink/Kernel/controlmachineimpl.h"

namespace harelink {

template class BasicClaimLedger<AllGuards>;
template class BasicClaimRouter<AllGuards>;
template class BasicControlMachine<AllGuards>;

} // namespace harelink
