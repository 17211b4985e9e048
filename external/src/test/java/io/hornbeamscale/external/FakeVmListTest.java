package io.hornbeamscale.external;

import io.hornbeamscale.core.membership.VmRecord;

class FakeVmListTest extends VmListContract {
    private final FakeVmList list = new FakeVmList();

    @Override
    protected VmList list() {
        return list;
    }

    @Override
    protected void put(VmRecord vm) {
        list.put(vm);
    }

    @Override
    protected void skipLag() {
        list.publish();
    }

    @Override
    protected void setDown(boolean isDown) {
        list.setDown(isDown);
    }
}
