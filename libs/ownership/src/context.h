#pragma once

#include <base/time.h>
#include <kernel/settings.h>
#include <kernel/stage.h>

namespace cowsliprock::ownership {

/// Time and output of the event being handled.
struct EventContext
{
    TimePoint now;
    Output &output;
};

/// State shared by all components of the ownership stage.
struct SharedState
{
    KernelSettings settings;
    DaemonIdentity self; ///< Current incarnation; changes after this daemon has been fenced.
};

} // namespace cowsliprock::ownership
