//===- harelink/Kernel/registry.h - Plug-ins by name ------------*- C++ -*-===//
///
/// \file
/// Where plug-ins register themselves. Settings and resources choose them by
/// name; an unknown name is an error that lists the known ones.
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

    /// The one registry of \p Interface.
    static Registry &instance()
    {
        static Registry registry;
        return registry;
    }
    /// Adds a plug-in; a name is taken once.
    void add(const std::string &name, Factory factory)
    {
        const bool added = m_factories.emplace(name, std::move(factory)).second;
        assert(added && "two plug-ins have the same name");
        (void)added;
    }
    /// Makes the plug-in called \p name, or null where there is none.
    [[nodiscard]] std::unique_ptr<Interface> make(const std::string &name) const
    {
        const auto found = m_factories.find(name);
        return found == m_factories.end() ? nullptr : found->second();
    }
    /// The registered names, sorted.
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

/// A static object of this type registers \p Plugin at start.
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
