<#import "layout.ftlh" as l>
<@l.page hasError=isMissing>
  <#if isMissing>
  <div class="summary" role="alert" tabindex="-1"><h2>The store does not answer</h2><p>The events cannot be shown now.</p></div>
  <#else>
  <p>Restarts, drains, engine commands and quarantined requests; nodes write them in batches, about every 30 seconds. Times are UTC. Changes of the document are in the <a href="/console/history">history</a>.</p>
  <#if rows?has_content>
  <div class="scroll" tabindex="0" role="region" aria-label="Events">
  <table>
    <thead><tr><th scope="col">When</th><th scope="col">What</th><th scope="col">Node</th><th scope="col">Subject</th><th scope="col">Details</th></tr></thead>
    <tbody>
      <#list rows as row>
      <tr><td><time datetime="${row.time}">${row.time}</time></td><td>${row.event.kind?string?lower_case?replace("_", " ")}</td><td>${row.event.node}</td><td>${row.event.subject}</td><td>${row.event.text}</td></tr>
      </#list>
    </tbody>
  </table>
  </div>
  <#else>
  <p>No events are recorded.</p>
  </#if>
  </#if>
</@l.page>
