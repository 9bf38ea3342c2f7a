//===- snapshotcell.cpp - Snapshot under RCU ------------------------------===//

#include "harelink/Adapters/snapshotcell.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace harelink {
namespace {

// liburcu is not built for ThreadSanitizer, which cannot see that a grace
// period orders the read-side sections before the deletion. These two functions
// annotate this order.
void annotateReadEnd(const void *cell)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_release(const_cast<void *>(cell));
#else
    (void)cell;
#endif
}

void annotateGracePeriodEnd(const void *cell)
{
#if defined(__SANITIZE_THREAD__)
    __tsan_acquire(const_cast<void *>(cell));
#else
    (void)cell;
#endif
}

} // namespace

RcuThread::RcuThread()
{
    urcu_memb_register_thread();
}

RcuThread::~RcuThread()
{
    urcu_memb_unregister_thread();
}

SnapshotCell::SnapshotCell()
    : m_current(new Snapshot())
{
}

SnapshotCell::~SnapshotCell()
{
    delete m_current.load();
}

SnapshotCell::Reader::Reader(const SnapshotCell &cell)
    : m_cell(cell)
{
    urcu_memb_read_lock();
    m_snapshot = cell.m_current.load(std::memory_order_acquire);
}

SnapshotCell::Reader::~Reader()
{
    annotateReadEnd(&m_cell);
    urcu_memb_read_unlock();
}

void SnapshotCell::publish(std::unique_ptr<const Snapshot> next)
{
    const Snapshot *old = m_current.exchange(next.release(), std::memory_order_acq_rel);
    urcu_memb_synchronize_rcu();
    annotateGracePeriodEnd(this);
    delete old;
}

} // namespace harelink
