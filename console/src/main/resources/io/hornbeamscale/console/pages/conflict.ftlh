<#import "layout.ftlh" as l>
<@l.page hasError=true>
  <div class="summary" role="alert" tabindex="-1">
    <h2>Nothing of yours was published</h2>
    <p>You worked on version ${conflict.expectedVersion}; version ${conflict.currentVersion} is in force now. Your input is kept.</p>
    <#if conflict.overlap?has_content>
    <p>Both of you changed: <#list conflict.overlap as id><code>${id}</code><#sep>, </#list>. Publishing yours would replace their values there.</p>
    <#else>
    <p>You changed different entries, so your change can be made on the new version.</p>
    </#if>
  </div>
  <div class="columns">
    <section aria-labelledby="theirs">
      <h2 id="theirs">Their changes since version ${conflict.expectedVersion}</h2>
      <#list conflict.records as record><p>Version ${record.version} by ${record.operator}: ${record.why}</p></#list>
      <@l.changes lines=theirs/>
    </section>
    <section aria-labelledby="mine">
      <h2 id="mine">Your changes</h2>
      <@l.changes lines=mine/>
    </section>
  </div>
  <form method="post" action="/console/${section.key}/form">
    <@l.token/>
    <input type="hidden" name="expect" value="${conflict.currentVersion}">
    <input type="hidden" name="why" value="${why}">
    <@l.hidden fields=kept/>
    <div class="buttons">
      <button>Edit your input on version ${conflict.currentVersion}</button>
      <button class="quiet" formaction="/console/${section.key}/review">Compare your input with version ${conflict.currentVersion}</button>
      <a href="/console/${section.key}">Discard your input</a>
    </div>
  </form>
</@l.page>
