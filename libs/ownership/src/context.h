#pragma once

#include <base/time.h>
#include <kernel/settings.h>
#include <kernel/stage.h>

namespace cowsliprock::ownership {

/// Time and output of the event that is being handled.
struct EventContext
{
    TimePoint now;
    Output &output;
};

/// What all parts of the stage read.
struct Shared
{
    KernelSettings settings;
    DaemonIdentity self; ///< Present incarnation; changes when this daemon was fenced.
};

} // namespace cowsliprock::ownership
