#pragma once

namespace Placement {

/// Accounts for the memory and the adapter slots of one engine, for models and adapters together:
/// what it holds, orders in progress, and orders that got no answer and may still be carried out.
class EngineLedger
{
public:
    struct Capacity
    {
        double memoryMb = 0;
        int adapterSlots = 0;
    };

    explicit EngineLedger(const Capacity &capacity);

    /// A model or adapter that is held, being loaded, or not yet unloaded.
    auto addModel(double mb) -> void;
    auto addAdapter(double mb) -> void;
    /// Loads that an earlier incarnation was ordered and that this one may carry out.
    auto addEarlierOrders(double mb, int adapters) -> void;
    /// All loads that may still be carried out: they have to fit into an empty engine, as it may
    /// start again at any time.
    auto addLateOrders(double mb, int adapters) -> void;
    /// Memory that loads of models leave to adapters; those held and ordered are part of it.
    auto keepForAdapters(double mb) -> void;
    /// Orders that may still arrive are unknown: nothing may be loaded.
    auto block() -> void { m_isBlocked = true; }

    /// Memory that has to be freed before the model can be loaded; at most 0 if it fits now.
    auto missingForModel(double mb) const -> double;
    /// False if late orders leave too little even in an empty engine.
    auto mayFitModel(double mb) const -> bool;
    auto canLoadAdapter(double mb) const -> bool;
    /// True if the adapter could be loaded in place of others.
    auto canReplaceAdapters(double mb) const -> bool;

private:
    Capacity m_capacity;
    double m_modelsMb = 0;
    double m_adaptersMb = 0;
    double m_earlierMb = 0;
    double m_lateMb = 0;
    double m_keptMb = 0;
    int m_adapters = 0;
    int m_earlierAdapters = 0;
    int m_lateAdapters = 0;
    bool m_isBlocked = false;
};

} // namespace Placement
