//===- harelink/Adapters/snapshotcell.h - Snapshot under RCU ----*- C++ -*-===//
///
/// \file
/// Holds the snapshot in force. Readers take no lock; the one writer waits
/// until no reader has the old snapshot any more and then deletes it.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_ADAPTERS_SNAPSHOTCELL_H
#define HARELINK_ADAPTERS_SNAPSHOTCELL_H

#include "harelink/Kernel/snapshot.h"

#include <atomic>
#include <memory>

namespace harelink {

/// Registers the calling thread as a reader for as long as it lives.
class RcuThread
{
public:
    RcuThread();
    ~RcuThread();
    RcuThread(const RcuThread &) = delete;
    RcuThread &operator=(const RcuThread &) = delete;
};

/// The cell.
class SnapshotCell
{
public:
    SnapshotCell();
    ~SnapshotCell();
    SnapshotCell(const SnapshotCell &) = delete;
    SnapshotCell &operator=(const SnapshotCell &) = delete;

    /// Reads the snapshot; the thread must be registered and must not block.
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

    /// Puts \p next in force and deletes the one before; for one thread only.
    void publish(std::unique_ptr<const Snapshot> next);
    /// The snapshot in force, for the publishing thread.
    [[nodiscard]] const Snapshot &current() const { return *m_current.load(); }

private:
    std::atomic<const Snapshot *> m_current;
};

} // namespace harelink

#endif // HARELINK_ADAPTERS_SNAPSHOTCELL_H
