//===- harelink/Kernel/registry.h - Plug-in registry ------------*- C++ -*-===//
///
/// \file
/// Registry of plug-ins. Settings and resources select plug-ins by name; an
/// unknown name is an error that lists the known names.
///
//===----------------------------------------------------------------------===//

#ifndef HARELINK_KERNEL_REGISTRY_H
#define HARELINK_KERNEL_REGISTRY_H

#include <cassert>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace harelink {

/// The plug-ins that implement \p Interface.
template <typename Interface>
class Registry
{
public:
    using Factory = std::function<std::unique_ptr<Interface>()>;

    /// Returns the process-wide registry of \p Interface.
    static Registry &instance()
    {
        static Registry registry;
        return registry;
    }
    /// Adds a plug-in; \p name must be unique.
    void add(const std::string &name, Factory factory)
    {
        const bool added = m_factories.emplace(name, std::move(factory)).second;
        assert(added && "two plug-ins have the same name");
        (void)added;
    }
    /// Creates the plug-in called \p name; returns null if there is none.
    [[nodiscard]] std::unique_ptr<Interface> make(const std::string &name) const
    {
        const auto found = m_factories.find(name);
        return found == m_factories.end() ? nullptr : found->second();
    }
    /// Returns the registered names, sorted.
    [[nodiscard]] std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const auto &[name, factory] : m_factories) {
            names.push_back(name);
        }
        return names;
    }

private:
    std::map<std::string, Factory> m_factories;
};

/// Registers \p Plugin at program start; to be used as a static object.
template <typename Interface, typename Plugin>
struct Registration
{
    explicit Registration(const char *name)
    {
        Registry<Interface>::instance().add(name, [] { return std::make_unique<Plugin>(); });
    }
};

} // namespace harelink

#endif // HARELINK_KERNEL_REGISTRY_H
