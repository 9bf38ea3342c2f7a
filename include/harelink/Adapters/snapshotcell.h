//===- harelink/Adapters/snapshotcell.h - Snapshot under RCU ----*- C++ -*-===//
///
/// \file
/// Holds the current configuration snapshot. Readers are lock-free; the single
/// writer waits until no reader uses the old snapshot and then deletes it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_SNAPSHOTCELL_H
#define HARELINK_ADAPTERS_SNAPSHOTCELL_H

#include "harelink/Kernel/snapshot.h"

#include <atomic>
#include <memory>

namespace harelink {

/// Registers the calling thread as a reader for the lifetime of this object.
class RcuThread
{
public:
    RcuThread();
    ~RcuThread();
    RcuThread(const RcuThread &) = delete;
    RcuThread &operator=(const RcuThread &) = delete;
};

/// An RCU-protected pointer to the current snapshot.
class SnapshotCell
{
public:
    SnapshotCell();
    ~SnapshotCell();
    SnapshotCell(const SnapshotCell &) = delete;
    SnapshotCell &operator=(const SnapshotCell &) = delete;

    /// A read-side critical section. The thread must be registered and must not block.
    class Reader
    {
    public:
        explicit Reader(const SnapshotCell &cell);
        ~Reader();
        Reader(const Reader &) = delete;
        Reader &operator=(const Reader &) = delete;
        [[nodiscard]] const Snapshot &operator*() const { return *m_snapshot; }

    private:
        const SnapshotCell &m_cell;
        const Snapshot *m_snapshot;
    };

    /// Replaces the current snapshot by \p next and deletes the old one, after waiting for
    /// its readers. May be called from one thread only.
    void publish(std::unique_ptr<const Snapshot> next);
    /// Returns the current snapshot, for the publishing thread.
    [[nodiscard]] const Snapshot &current() const { return *m_current.load(); }

private:
    std::atomic<const Snapshot *> m_current;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_SNAPSHOTCELL_H
