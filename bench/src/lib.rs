//! Stand-ins for the platform and the backend servers, a fault proxy, a load tool and the cases that measure
//! currantbend with real processes.

