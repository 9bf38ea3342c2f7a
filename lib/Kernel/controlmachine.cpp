//===- controlmachine.cpp - The product's control -------------------------===//

#include "harelink/Kernel/controlmachineimpl.h"

namespace harelink {

template class BasicClaimLedger<AllGuards>;
template class BasicClaimRouter<AllGuards>;
template class BasicControlMachine<AllGuards>;

} // namespace harelink
